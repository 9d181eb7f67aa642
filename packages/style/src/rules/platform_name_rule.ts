/**
 * Only the adapter, and the stand-ins that speak to it, know the platform's names.
 * @module
 */
import { SyntaxKind } from "ts-morph";
import { type StyleFile, StyleRule, type Violation } from "./style_rule.ts";

const ALLOWED_PATH =
  /^packages\/(platform\/|fakes\/src\/platform\/|style\/|[^/]+\/test\/)/;
/** Headers, paths, topics and fields that nothing else is called. */
const PLATFORM_NAME =
  /x-briarhill-|\/briarhill\/|^keyed\.|briarhill_node_file|dead_lettered|fencingToken|kvCapacity/i;

/** No text outside the adapter holds a name of the platform. */
export class PlatformNameRule extends StyleRule {
  override readonly name = "platform-name";

  override findViolations(file: StyleFile): readonly Violation[] {
    if (ALLOWED_PATH.test(file.path)) {
      return [];
    }
    return [
      ...file.source.getDescendantsOfKind(SyntaxKind.StringLiteral),
      ...file.source.getDescendantsOfKind(
        SyntaxKind.NoSubstitutionTemplateLiteral,
      ),
      ...file.source.getDescendantsOfKind(SyntaxKind.TemplateHead),
    ]
      .filter((node) => PLATFORM_NAME.test(node.getLiteralText()))
      .map((node) => ({
        line: node.getStartLineNumber(),
        message: `"${node.getLiteralText()}" is a name of the platform`,
      }));
  }
}
