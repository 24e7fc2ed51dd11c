package org.masticpaddle.document;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Checks a whole document made of parts and reports all problems at once. Stateless and thread-safe. */
public final class DocumentCheck {
    /** Maximum size of all parts together, in bytes of UTF-8; every reader keeps the whole document in memory. */
    public static final int MAX_BYTES = 1024 * 1024;

    private DocumentCheck() {}

    /**
     * Checks the parts of a document together.
     *
     * @param parts parts of all teams
     * @return the document and all problems
     */
    public static CheckResult check(Collection<Part> parts) {
        return checkParsed(parts.stream().map(DocumentCheck::parse).toList());
    }

    /**
     * Decodes the bytes of a file as a part.
     *
     * @param owner team that publishes the text, empty if the text may hold the sections of any team
     * @param file file name for problem messages
     * @param bytes content of the file
     * @return the part; bytes that are not UTF-8 become replacement characters, which the check reports
     */
    public static Part read(String owner, String file, byte[] bytes) {
        try {
            final String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            return new Part(owner, file, text);
        } catch (CharacterCodingException e) {
            return new Part(owner, file, new String(bytes, StandardCharsets.UTF_8));
        }
    }

    static ParsedPart parse(Part part) {
        final int bytes = sizeBytes(part);
        if (bytes > MAX_BYTES) {
            return new ParsedPart(part, List.of(), List.of(tooLarge(part.file(), bytes)));
        }
        return PartParser.parse(part);
    }

    static CheckResult checkParsed(Collection<ParsedPart> parts) {
        final List<Problem> problems = new ArrayList<>();
        final List<Section> sections = new ArrayList<>();
        long bytes = 0;
        for (final ParsedPart part : parts) {
            problems.addAll(part.problems());
            sections.addAll(part.sections());
            bytes += sizeBytes(part.part());
        }
        if (bytes > MAX_BYTES && problems.stream().noneMatch(problem -> problem.kind() == Problem.Kind.TOO_LARGE)) {
            problems.add(tooLarge("all parts", bytes));
        }
        final DocumentAssembler assembler = new DocumentAssembler(sections, problems);
        final RoutingDocument document = assembler.assemble();
        ReferenceCheck.check(document, sections, problems);
        problems.sort(Problem.BY_LOCATION);
        return new CheckResult(document, problems);
    }

    private static int sizeBytes(Part part) {
        return part.text().getBytes(StandardCharsets.UTF_8).length;
    }

    private static Problem tooLarge(String file, long bytes) {
        final String expected = "at most " + MAX_BYTES + " bytes in all";
        return new Problem(Problem.Kind.TOO_LARGE, file, 0, "", "", expected, bytes + " bytes", "");
    }
}
