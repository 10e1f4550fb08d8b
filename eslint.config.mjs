import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';

/** Prettier owns layout, so the guide's layout rules are left to it. */
const withoutLayout = (config) => ({
  ...config,
  rules: Object.fromEntries(
    Object.entries(config.rules ?? {}).filter(([name]) => !name.startsWith('@stylistic/')),
  ),
});

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.base.recommended.map(withoutLayout),
  ...configs.base.typescript.map(withoutLayout),
  {
    rules: {
      // The house style: ESM with explicit extensions and named exports only.
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      // One task for each connection, written straight down, awaits in its loop.
      'no-await-in-loop': 'off',
      // `for … of` is the plain way through an async loop here.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      // `void promise` marks a task that is deliberately not awaited.
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: false, project: ['./tsconfig.test.json'] },
    },
    rules: {
      '@typescript-eslint/prefer-destructuring': 'off',
      '@typescript-eslint/promise-function-async': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
  {
    files: ['**/test/**', 'scripts/**', 'packages/lab/**', 'packages/stand-ins/**', '*.mjs'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
    },
  },
  {
    files: ['scripts/*.cjs'],
    languageOptions: {
      globals: {
        process: 'readonly',
        require: 'readonly',
        module: 'writable',
        setTimeout: 'readonly',
      },
    },
    rules: { 'import-x/no-commonjs': 'off', 'class-methods-use-this': 'off' },
  },
];
