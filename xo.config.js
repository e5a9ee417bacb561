import jsdoc from 'eslint-plugin-jsdoc';

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', 'coverage/**', 'docs/**', 'examples/**', '.changeset/**']},
	{
		files: ['**/*.ts'],
		rules: {
			// Every rule changed here has its reason in docs/decisions/libraries.md.
			'import-x/no-unresolved': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/naming-convention': [
				'error',
				{selector: 'default', format: ['strictCamelCase'], leadingUnderscore: 'allow'},
				{selector: 'variable', format: ['strictCamelCase', 'StrictPascalCase']},
				{selector: 'typeLike', format: ['StrictPascalCase']},
				{selector: ['property', 'import'], format: null},
			],
		},
	},
	{
		files: ['packages/*/src/**/*.ts'],
		ignores: ['**/*.test.ts'],
		plugins: {jsdoc},
		rules: {
			'max-lines': ['error', {max: 300}],
			'jsdoc/require-jsdoc': ['error', {
				publicOnly: true,
				require: {
					FunctionDeclaration: true, ArrowFunctionExpression: true, ClassDeclaration: true,
				},
				contexts: ['ExportNamedDeclaration > TSTypeAliasDeclaration', 'ExportNamedDeclaration > VariableDeclaration'],
			}],
		},
	},
	{
		files: ['**/*.test.ts', '**/*.config.js', 'scripts/*.js'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
