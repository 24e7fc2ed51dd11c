package org.masticpaddle.document;

import java.util.Arrays;
import java.util.Collection;
import java.util.Optional;

/**
 * Versions of the rules by which documents are checked. A change of the check that accepts or rejects other documents
 * than before requires a new constant, so that old and new processes decide alike on an edit.
 */
enum RuleSet {
    FIRST(1) {
        @Override
        CheckResult check(Collection<ParsedPart> parts) {
            return DocumentCheck.checkParsed(parts);
        }
    };

    static final RuleSet CURRENT = FIRST;

    private final int number;

    RuleSet(int number) {
        this.number = number;
    }

    static Optional<RuleSet> of(int number) {
        return Arrays.stream(values()).filter(rules -> rules.number == number).findFirst();
    }

    int number() {
        return number;
    }

    abstract CheckResult check(Collection<ParsedPart> parts);
}
