import tseslint from "typescript-eslint";

const pureCore = [
    "packages/model/src/**",
    "packages/coordination/src/**",
    "packages/entry/src/**",
    "packages/gateway/src/**",
    "packages/sidecar/src/**",
];

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "packages/schema/src/generated/**"] },
    ...tseslint.configs.strict,
    {
        rules: {
            "@typescript-eslint/no-non-null-assertion": "off",
            "@typescript-eslint/no-dynamic-delete": "error",
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "inline-type-imports" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: ["variable", "function"], format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            curly: "error",
            eqeqeq: "error",
            "no-var": "error",
            "prefer-const": "error",
            "arrow-parens": "off",
            "no-else-return": "error",
            complexity: ["error", 16],
            "max-depth": ["error", 3],
        },
    },
    {
        // The core packages are deterministic: time, randomness and the results of I/O are passed in.
        files: pureCore,
        rules: {
            "no-restricted-globals": ["error", "process", "setTimeout", "setInterval", "performance", "fetch"],
            "no-restricted-properties": [
                "error",
                { object: "Date", property: "now" },
                { object: "Math", property: "random" },
            ],
            "no-restricted-imports": ["error", { patterns: ["node:*"] }],
        },
    },
    {
        // The time of day may jump, so no timer and no duration depends on it.
        files: ["packages/runtime/src/**", "packages/cli/src/**", "platform/src/**"],
        rules: {
            "no-restricted-properties": ["error", { object: "Date", property: "now" }],
            "no-restricted-imports": ["error", {
                paths: [{
                    name: "most",
                    importNames: ["periodic", "delay", "debounce", "throttle"],
                    message: "These follow the time of day; use setInterval and setTimeout.",
                }],
            }],
        },
    },
    {
        files: ["**/*.cjs"],
        languageOptions: { sourceType: "commonjs", globals: { require: "readonly", module: "writable" } },
        rules: { "@typescript-eslint/no-require-imports": "off", "@typescript-eslint/naming-convention": "off" },
    },
    {
        files: ["packages/runtime/src/entryRunner.ts", "packages/runtime/src/gatewayRunner.ts"],
        // Each runner has a switch statement with a case for every effect.
        rules: { complexity: ["error", 24] },
    },
);
