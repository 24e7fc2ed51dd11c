package org.masticpaddle.document;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/** Guards against problems in a document that are accepted, reported at the wrong location, or hide one another. */
class DocumentCheckTest {
    private static final Path SAMPLE = Path.of("samples", "routing.ini");

    @Test
    void shouldAcceptTheSampleWithByteOrderMarkAndCarriageReturns() throws IOException {
        final String text = Files.readString(SAMPLE);
        final CheckResult plain = check(text);
        final CheckResult windowsStyle = check('\uFEFF' + text.replace("\n", "\r\n"));
        assertThat(plain.problems()).isEmpty();
        assertThat(plain.document().versions()).hasSize(6);
        assertThat(plain.document().rollouts().get("model-a-v3").stages())
                .containsExactly(0.01, 0.1, 0.5, 1.0)
                .inOrder();
        assertThat(windowsStyle).isEqualTo(plain);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "contact = platform team | contact = a\\ncontact = b | DUPLICATE_KEY | 1 | ''",
                "[platform version model-a v2] | [platform  version model-a v1] | DUPLICATE_SECTION | 0 | ''",
                "[platform rank urgent] | [platform rnak urgent] | UNKNOWN_SECTION | 0 | rank",
                "[platform rank urgent] | [platform rank urgen] | UNKNOWN_SECTION | 0 | urgent",
                "[platform rank urgent] | [platform rank urgent | BAD_LINE | 0 | ''",
                "weight = 4 | weigth = 4 | UNKNOWN_KEY | 0 | weight",
                "weight = 4 | weight 4 | BAD_LINE | 0 | ''",
                "weight = 4 | weight = NaN | BAD_VALUE | 0 | ''",
                "weight = 4 | weight = ${sys:x} | BAD_VALUE | 0 | ''",
                "concurrent = 800 | concurrent = -1 | BAD_VALUE | 0 | ''",
                "spend_micros_per_hour = 900000000 | spend_micros_per_hour = 1e9 | BAD_VALUE | 0 | ''",
                "allow = model-a/*, model-b/v2 | allow = model-b/v22 | UNKNOWN_REFERENCE | 0 | model-b/v2",
                "[products limits south] | [products limits sout] | UNKNOWN_REFERENCE | 0 | south",
                "services = bookings | services = booking | UNKNOWN_REFERENCE | 0 | bookings",
                "credential = sha256:88 | credential = sha256:8X | BAD_VALUE | 0 | ''",
                "[products service bookings] | [platfrom service bookings] | UNKNOWN_REFERENCE | 0 | platform",
                "to = v3 | to = v33 | UNKNOWN_REFERENCE | 0 | model-a/v3",
                "stages = 1%, 10% | stages = 10%, 1% | BAD_VALUE | 0 | ''",
                "quality = 0.72 | state = withdrawn\\nquality = 0.72 | WITHDRAWN_TARGET | 46 | ''",
                "floor = 20% | floor = 0.96 | FLOORS_ABOVE_ONE | 5 | ''",
                "state = running | state = runing | BAD_VALUE | 0 | running",
                "stage_ms = 600000 | # none | MISSING_KEY | -5 | ''",
                "[team products] | [platform rollout r2]\\nmodel = model-a\\nfrom = v1\\nto = v1\\n"
                        + "stages = 1\\nstage_ms = 1\\n[team products] | BAD_VALUE | 3 | ''"
            })
    void shouldReportAProblemAtItsLine(String text, String replacement, Problem.Kind kind, int offset, String nearest)
            throws IOException {
        final String sample = Files.readString(SAMPLE);
        assertThat(sample).contains(text);
        final int start = sample.indexOf(text);
        final int line = (int) sample.substring(0, start).lines().count() + 1 + offset;
        final String broken =
                sample.substring(0, start) + replacement.replace("\\n", "\n") + sample.substring(start + text.length());
        final List<Problem> problems = check(broken).problems();
        assertThat(problems.stream().map(problem -> problem.kind() + " " + problem.line() + " " + problem.nearest()))
                .contains(kind + " " + line + " " + nearest);
    }

    @Test
    void shouldReportAllProblemsAtOnce() {
        final CheckResult result = check("x = 1\n[team a]\nfoo = 1\n[a rank urgent]\nfloor = 2\n[b model m]\n");
        assertThat(result.problems().stream().map(Problem::kind))
                .containsExactly(
                        Problem.Kind.BAD_LINE,
                        Problem.Kind.UNKNOWN_KEY,
                        Problem.Kind.BAD_VALUE,
                        Problem.Kind.UNKNOWN_REFERENCE)
                .inOrder();
    }

    @Test
    void shouldReportBytesThatAreNotUtf8() {
        final byte[] bytes = "[team a]\ncontact = \u00e9\n".getBytes(StandardCharsets.ISO_8859_1);
        final List<Problem> problems = DocumentCheck.check(List.of(DocumentCheck.read("a", "f", bytes)))
                .problems();
        assertThat(problems.stream().map(Problem::message))
                .containsExactly("f:2: [team a] expected UTF-8 text, found bytes that are not text");
    }

    @Test
    void shouldRejectADocumentAboveTheSizeLimitInOneOrTwoParts() {
        final String half = "[team a]\n" + "# filler\n".repeat(DocumentCheck.MAX_BYTES / 18);
        final Part first = Part.of("a", half);
        final Part second = Part.of("b", half.replace("team a", "team b"));
        assertThat(kinds(DocumentCheck.check(List.of(first)))).isEmpty();
        assertThat(kinds(DocumentCheck.check(List.of(first, second)))).containsExactly(Problem.Kind.TOO_LARGE);
        assertThat(kinds(check(half + half))).containsExactly(Problem.Kind.TOO_LARGE);
    }

    @Test
    void shouldReportForeignSectionsAndDuplicateNamesAndCredentials() {
        final String credential = "credential = sha256:" + "0".repeat(64) + "\n";
        final Part first = Part.of("a", "[team a]\n[a organisation x]\n" + credential);
        final Part second = Part.of(
                "b",
                "[team b]\n[b organisation y]\n" + credential + "[a organisation z]\n" + credential.replace('0', '1'));
        assertThat(kinds(DocumentCheck.check(List.of(first, second))))
                .containsExactly(Problem.Kind.DUPLICATE_CREDENTIAL, Problem.Kind.FOREIGN_SECTION);
        final Part same = Part.of("b", "[team b]\n[b organisation x]\n" + credential.replace('0', '1'));
        assertThat(kinds(DocumentCheck.check(List.of(first, same)))).containsExactly(Problem.Kind.DUPLICATE_NAME);
    }

    @Test
    void shouldSplitTheSampleIntoPartsThatPassTheCheckTogether() throws IOException {
        final List<Part> parts = TeamText.split(Files.readString(SAMPLE)).entrySet().stream()
                .map(part -> Part.of(part.getKey(), part.getValue()))
                .toList();
        assertThat(parts).hasSize(2);
        assertThat(DocumentCheck.check(parts)).isEqualTo(check(Files.readString(SAMPLE)));
    }

    private static List<Problem.Kind> kinds(CheckResult result) {
        return result.problems().stream().map(Problem::kind).toList();
    }

    private static CheckResult check(String text) {
        return DocumentCheck.check(List.of(new Part("", "file", text)));
    }
}
