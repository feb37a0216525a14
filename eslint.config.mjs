import js from "@eslint/js";
import tseslint from "typescript-eslint";

/** Rules that keep the code to the TypeScript team's guidelines and to docs/HOUSE-STYLE.md. */
export default tseslint.config(
    { ignores: ["target/**", "**/dist/**", "**/generated/**", "**/node_modules/**"] },
    js.configs.recommended,
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "no-restricted-syntax": [
                "error",
                {
                    selector: "ImportDeclaration > ImportSpecifier",
                    message: "Import the whole namespace: import * as name.",
                },
                {
                    selector: "ImportDeclaration > ImportDefaultSpecifier",
                    message: "Import the whole namespace: import * as name.",
                },
            ],
            "@typescript-eslint/consistent-type-imports": "off",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: ["function", "classMethod"], format: ["camelCase"] },
            ],
        },
    },
    { files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"], rules: { "no-console": "error" } },
    {
        files: ["packages/*/test/**/*.ts", "platform/test/**/*.ts"],
        rules: { "@typescript-eslint/no-unused-expressions": "off" },
    },
);
