/** Turns off the layout rules that the formatter decides. */
import { builtinRules } from 'eslint/use-at-your-own-risk';
import { plugins } from 'eslint-config-airbnb-extended';

const stylistic = Object.keys(plugins.stylistic.plugins['@stylistic'].rules);

export const rules = {
  ...Object.fromEntries(stylistic.map((name) => [`@stylistic/${name}`, 'off'])),
  ...Object.fromEntries(
    ['max-len', 'indent', 'quotes', 'semi', 'object-curly-newline', 'operator-linebreak']
      .filter((name) => builtinRules.has(name))
      .map((name) => [name, 'off']),
  ),
};
