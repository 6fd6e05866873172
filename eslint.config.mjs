/** Airbnb's guide by eslint-config-airbnb-extended; what the house style sets otherwise says why. */
import { configs, plugins } from 'eslint-config-airbnb-extended';
import { rules as prettierRules } from './eslint.prettier.mjs';

const houseRules = {
  // House style: control flow by `for of` with early exits.
  'no-restricted-syntax': 'off',
  'no-continue': 'off',
  // Tasks own their state, so awaiting in order is intended.
  'no-await-in-loop': 'off',
  // Loops that end by return or break.
  'no-constant-condition': ['error', { checkLoops: false }],
  // Factories list their public functions first and the helpers below them.
  '@typescript-eslint/no-use-before-define': 'off',
  'no-use-before-define': 'off',
  // `void` marks a promise that is deliberately not awaited.
  'no-void': 'off',
  // Jobs and requests are state that their owner changes.
  'no-param-reassign': ['error', { props: false }],
  // Named exports only, as in the model.
  'import-x/prefer-default-export': 'off',
  // Baseline policies and clocks stand beside each other in one file.
  'max-classes-per-file': 'off',
  // Classes fulfil interfaces whose methods need not use `this`.
  'class-methods-use-this': 'off',
  // Node's ESM resolution wants the extension of the emitted file.
  'import-x/extensions': 'off',
  'import-x/no-rename-default': 'off',
};

export default [
  { ignores: ['dist/', 'target/', 'node_modules/', 'src/generated/'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      ...prettierRules,
      ...houseRules,
      // The test runner itself waits for what describe and it return.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['describe', 'it'], package: 'node:test' },
          ],
        },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': 'off',
      'max-lines': ['error', { max: 450 }],
    },
  },
  {
    files: ['**/*.mjs'],
    rules: {
      ...prettierRules,
      ...houseRules,
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
  {
    files: ['test/**/*.ts', 'bench/**/*.ts', 'scripts/**/*.ts'],
    rules: { 'import-x/no-extraneous-dependencies': 'off' },
  },
];
