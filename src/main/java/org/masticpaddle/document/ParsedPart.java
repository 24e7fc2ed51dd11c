package org.masticpaddle.document;

import java.util.List;

/**
 * A part after parsing, with the mistakes that show without the other parts. Immutable and thread-safe.
 *
 * @param part the part
 * @param sections sections with a known header
 * @param problems mistakes
 */
record ParsedPart(Part part, List<Section> sections, List<Problem> problems) {
    ParsedPart {
        sections = List.copyOf(sections);
        problems = List.copyOf(problems);
    }
}
