package org.masticpaddle.settings;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a process that starts with other settings than its operator wrote. */
class ProcessSettingsTest {
    private static final String ENTRY = """
            [process]
            role = entry
            instance = entry-0
            region = r
            failure_domain = d
            [platform]
            log = http://127.0.0.1:1
            instances = http://127.0.0.1:2
            [entry]
            session_keys = a-key-of-16-characters
            """;

    @Test
    void shouldAcceptAByteOrderMarkAndCarriageReturns() {
        final ProcessSettings settings = ProcessSettings.parse("f", "\uFEFF" + ENTRY.replace("\n", "\r\n"));
        assertThat(settings.text(Setting.INSTANCE)).isEqualTo("entry-0");
        assertThat(settings.list(Setting.SESSION_KEYS)).containsExactly("a-key-of-16-characters");
        assertThat(settings.number(Setting.QUEUE)).isEqualTo(4096);
    }

    @Test
    void shouldLeaveOutCommentsAndQuotes() {
        final ProcessSettings settings = ProcessSettings.parse(
                "f",
                ENTRY
                        + "; a comment\nqueue = 8 ; a comment\nkey_lifetime_seconds = \"9\" # another\npeers = http://a:1#b\n");
        assertThat(settings.number(Setting.QUEUE)).isEqualTo(8);
        assertThat(settings.number(Setting.KEY_LIFETIME_SECONDS)).isEqualTo(9);
        assertThat(settings.list(Setting.PEERS)).containsExactly("http://a:1#b");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "queue = 8|quue = 8|f:11: [entry] quue: unknown key; did you mean \"queue\"?",
                "queue = 8|queue = 0|f:11: [entry] queue: expected a whole number of at least 1, found \"0\"",
                "queue = 8|queue = -5|f:11: [entry] queue: expected a whole number of at least 1, found \"-5\"",
                "queue = 8|rated_share = NaN|f:11: [entry] rated_share: expected a number from 0 to 1, found \"NaN\"",
                "queue = 8|[entri]|f:11: [entri]: unknown section; did you mean \"entry\"?"
            })
    void shouldReportAMistakeAtItsLine(String right, String wrong, String message) {
        ProcessSettings.parse("f", ENTRY + right + "\n");
        assertThat(mistakes(ENTRY + wrong + "\n")).containsExactly(message);
    }

    @Test
    void shouldReportDuplicateSectionsAndKeys() {
        assertThat(mistakes(ENTRY + "queue = 8\nqueue = 9\n")).hasSize(1);
        assertThat(mistakes(ENTRY + "queue = 8\nqueue = 9\n").get(0)).contains("f:12: [entry] queue");
        assertThat(mistakes(ENTRY + "[process]\nport = 1\n").get(0)).contains("f:11: [process]");
    }

    @Test
    void shouldReportAllMistakesAtOnce() {
        final List<String> mistakes = mistakes("[process]\nrole = boss\nregio = r\n[nothing]\n");
        assertThat(mistakes)
                .containsAtLeast(
                        "f:2: [process] role: expected entry, sidecar or gateway, found \"boss\"",
                        "f: [process] instance: expected a name without blanks, found no value",
                        "f: [platform] log: expected an origin, for example http://127.0.0.1:8080, found no value",
                        "f:3: [process] regio: unknown key; did you mean \"region\"?");
        assertThat(mistakes.stream().anyMatch(mistake -> mistake.startsWith("f:4: [nothing]")))
                .isTrue();
    }

    @Test
    void shouldReportWhatARoleNeeds() {
        assertThat(mistakes(ENTRY.replace("a-key-of-16-characters", "short")))
                .containsExactly("f: [entry] session_keys: expected keys of at least 16 characters");
        assertThat(mistakes(ENTRY.replace("role = entry", "role = sidecar")))
                .containsExactly(
                        "f: [sidecar] service: a sidecar needs a value, found none",
                        "f: [sidecar] upstream: a sidecar needs a value, found none");
    }

    private static List<String> mistakes(String text) {
        return assertThrows(SettingsException.class, () -> ProcessSettings.parse("f", text))
                .problems();
    }
}
