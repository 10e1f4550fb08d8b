const { reporters } = require('mocha');

/** Mocha's spec reporter with a final line that counts the results. */
class CountingReporter extends reporters.Spec {
  epilogue() {
    super.epilogue();
    const { passes = 0, failures = 0, pending = 0 } = this.stats;
    const skipped = pending > 0 ? `, ${pending} skipped` : '';
    process.stdout.write(`${passes} passed, ${failures} failed${skipped}\n`);
  }
}

module.exports = CountingReporter;
