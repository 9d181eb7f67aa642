/**
 * Modules, exported declarations and their public methods carry a doc comment.
 * @module
 */
import { type ClassDeclaration, type JSDoc, Node, SyntaxKind } from "ts-morph";
import { listExported } from "./exported_declarations.ts";
import { type StyleFile, StyleRule, type Violation } from "./style_rule.ts";

/** Modules, exported declarations and their public methods carry a doc comment. */
export class DocCommentRule extends StyleRule {
  override readonly name = "doc-comment";

  override findViolations(file: StyleFile): readonly Violation[] {
    if (file.isTest) {
      return [];
    }
    return [...findModule(file), ...findDeclarations(file)];
  }
}

function findModule({ source }: StyleFile): readonly Violation[] {
  const head = /^(#![^\n]*\n)?\/\*\*[\s\S]*?\*\//.exec(source.getFullText());
  return head?.[0].includes("@module")
    ? []
    : [{ line: 1, message: "the module has no doc comment" }];
}

function findDeclarations({ source }: StyleFile): readonly Violation[] {
  const exported = listExported(source);
  const described = new Set(
    exported.filter(({ node }) => hasDocComment(node)).map(({ name }) => name),
  );
  const missing = exported.filter(({ name }) => !described.has(name));
  const classes = source.getClasses().filter((node) => node.isExported());
  return [
    ...missing.map(({ node, name }) => createViolation(node, name)),
    ...classes.flatMap(findMethods),
  ];
}

function findMethods(owner: ClassDeclaration): readonly Violation[] {
  const members = [
    ...owner.getMethods().filter((node) => !node.hasOverrideKeyword()),
    ...owner.getGetAccessors().filter((node) =>
      !node.hasModifier(SyntaxKind.OverrideKeyword)
    ),
  ];
  return members
    .filter((node) => !node.getName().startsWith("#"))
    .filter((node) => !hasDocComment(node))
    .map((node) =>
      createViolation(node, `${owner.getName()}.${node.getName()}`)
    );
}

function createViolation(node: Node, name: string): Violation {
  const line = node.getStartLineNumber();
  return { line, message: `"${name}" has no doc comment` };
}

function hasDocComment(node: Node): boolean {
  return Node.isJSDocable(node) && node.getJsDocs().some(isFilled);
}

function isFilled(doc: JSDoc): boolean {
  const isModule = doc.getTags().some((tag) => tag.getTagName() === "module");
  return !isModule && doc.getDescription().trim() !== "";
}
