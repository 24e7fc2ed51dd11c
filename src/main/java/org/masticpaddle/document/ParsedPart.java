package org.masticpaddle.document;

import java.util.List;

/**
 * Part after parsing, with the problems that can be found without the other parts. Immutable and thread-safe.
 *
 * @param part the part that was parsed
 * @param sections sections with a valid header
 * @param problems problems found
 */
record ParsedPart(Part part, List<Section> sections, List<Problem> problems) {
    ParsedPart {
        sections = List.copyOf(sections);
        problems = List.copyOf(problems);
    }
}
