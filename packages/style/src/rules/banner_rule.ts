/**
 * Source files begin with their doc comment and no other notice.
 * @module
 */
import { type StyleFile, StyleRule, type Violation } from "./style_rule.ts";

const NOTICE = /copyright|©|licen[cs]e|SPDX-/i;

/** Source files carry no notice of licence or copyright. */
export class BannerRule extends StyleRule {
  override readonly name = "banner";

  override findViolations(file: StyleFile): readonly Violation[] {
    const text = file.source.getFullText();
    const end = file.source.getStatements()[0]?.getStart() ?? text.length;
    return NOTICE.test(text.slice(0, end))
      ? [{ line: 1, message: "the file begins with a notice" }]
      : [];
  }
}
