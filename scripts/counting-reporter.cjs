const { reporters } = require('mocha');

/** Time that a run has to end by itself after its last test, in ms: a failed test may leave programs running. */
const EXIT_TIMEOUT_MS = 30_000;

const exitIfStillRunning = () => {
  const timer = setTimeout(() => {
    const open = [...new Set(process.getActiveResourcesInfo())].join(', ');
    process.stderr.write(`the tests have ended, but the process has not; still open: ${open}\n`);
    process.exit(1);
  }, EXIT_TIMEOUT_MS);
  timer.unref();
};

/** Mocha's spec reporter with a final line that counts the results. */
class CountingReporter extends reporters.Spec {
  epilogue() {
    super.epilogue();
    const { passes = 0, failures = 0, pending = 0 } = this.stats;
    const skipped = pending > 0 ? `, ${pending} skipped` : '';
    process.stdout.write(`${passes} passed, ${failures} failed${skipped}\n`);
    exitIfStillRunning();
  }
}

module.exports = CountingReporter;
