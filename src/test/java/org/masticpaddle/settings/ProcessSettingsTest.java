package org.masticpaddle.settings;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a process that starts with settings other than those its operator wrote. */
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

    private static final String GATEWAY = """
            [process]
            role = gateway
            instance = gateway-0
            region = r
            failure_domain = d
            [platform]
            log = http://127.0.0.1:1
            [gateway]
            """;

    @Test
    void shouldAcceptAByteOrderMarkAndCarriageReturns() {
        final ProcessSettings settings = ProcessSettings.parse("f", "\uFEFF" + ENTRY.replace("\n", "\r\n"));
        assertThat(settings.text(Setting.INSTANCE)).isEqualTo("entry-0");
        assertThat(settings.list(Setting.SESSION_KEYS)).containsExactly("a-key-of-16-characters");
        assertThat(settings.number(Setting.QUEUE)).isEqualTo(4096);
    }

    @Test
    void shouldIgnoreCommentsAndStripQuotes() {
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
    void shouldReportTheLineOfAnError(String valid, String invalid, String message) {
        ProcessSettings.parse("f", ENTRY + valid + "\n");
        assertThat(problems(ENTRY + invalid + "\n")).containsExactly(message);
    }

    @Test
    void shouldReportDuplicateSectionsAndKeys() {
        assertThat(problems(ENTRY + "queue = 8\nqueue = 9\n")).hasSize(1);
        assertThat(problems(ENTRY + "queue = 8\nqueue = 9\n").get(0)).contains("f:12: [entry] queue");
        assertThat(problems(ENTRY + "[process]\nport = 1\n").get(0)).contains("f:11: [process]");
    }

    @Test
    void shouldReportAllErrorsAtOnce() {
        final List<String> problems = problems("[process]\nrole = boss\nregio = r\n[nothing]\n");
        assertThat(problems)
                .containsAtLeast(
                        "f:2: [process] role: expected entry, sidecar or gateway, found \"boss\"",
                        "f: [process] instance: expected a name without whitespace, found no value",
                        "f: [platform] log: expected an origin, for example http://127.0.0.1:8080, found no value",
                        "f:3: [process] regio: unknown key; did you mean \"region\"?");
        assertThat(problems.stream().anyMatch(problem -> problem.startsWith("f:4: [nothing]")))
                .isTrue();
    }

    @Test
    void shouldReportMissingSettingsOfARole() {
        assertThat(problems(ENTRY.replace("a-key-of-16-characters", "short")))
                .containsExactly("f: [entry] session_keys: expected keys of at least 16 characters");
        assertThat(problems(ENTRY.replace("role = entry", "role = sidecar")))
                .containsExactly(
                        "f: [sidecar] service: required for role sidecar, found no value",
                        "f: [sidecar] upstream: required for role sidecar, found no value");
    }

    /** Guards against a gateway that does not start where the platform computes its figures. */
    @Test
    void shouldReadNumbersAsPlatformsPrintThem() {
        final ProcessSettings settings = ProcessSettings.parse("f", GATEWAY + """
                key_revocation_ms = 4166.666666666667
                upstream_drain_ms = 2000.0
                retry_share = 0.8999999999999999
                retry_slack = 44.16666666666667
                exposure_share = 9.75e-02
                exposure_slack = 1E+1
                grace_seconds = 7.999999999999999
                evacuation_ms = 4999.999999999999
                """);
        assertThat(settings.millis(Setting.KEY_REVOCATION_MS)).isEqualTo(Duration.ofMillis(4_167));
        assertThat(settings.millis(Setting.UPSTREAM_DRAIN_MS)).isEqualTo(Duration.ofMillis(2_000));
        assertThat(settings.millis(Setting.EVACUATION_MS)).isEqualTo(Duration.ofMillis(5_000));
        assertThat(ProcessSettings.parse("f", GATEWAY).millis(Setting.EVACUATION_MS))
                .isEqualTo(Duration.ZERO);
        assertThat(settings.decimal(Setting.RETRY_SHARE)).isWithin(1e-9).of(0.9);
        assertThat(settings.decimal(Setting.RETRY_SLACK)).isWithin(1e-9).of(44.1666666667);
        assertThat(settings.share(Setting.EXPOSURE_SHARE)).isWithin(1e-9).of(0.0975);
        assertThat(settings.decimal(Setting.EXPOSURE_SLACK)).isWithin(1e-9).of(10);
        assertThat(settings.decimalSeconds(Setting.GRACE_SECONDS)).isEqualTo(Duration.ofSeconds(8));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "exposure_share = 1.0000000001|expected a number from 0 to 1, found \"1.0000000001\"",
                "exposure_share = -0.1|expected a number from 0 to 1, found \"-0.1\"",
                "retry_slack = 1e40|expected a number of at least 0, found \"1e40\"",
                "retry_slack = Infinity|expected a number of at least 0, found \"Infinity\"",
                "settling_ms = 0.2|expected a number of at least 1, found \"0.2\"",
                "settling_ms = 1e12|expected a number of at least 1, found \"1e12\""
            })
    void shouldRejectNumbersOutOfRange(String line, String message) {
        final String key = line.substring(0, line.indexOf(' '));
        assertThat(problems(GATEWAY + line + "\n")).containsExactly("f:9: [gateway] " + key + ": " + message);
    }

    @Test
    void shouldIgnoreSpeedsOfUpstreamsUnlessToldToLearnThem() {
        assertThat(ProcessSettings.parse("f", GATEWAY).text(Setting.UPSTREAM_SPEEDS))
                .isEqualTo("ignored");
        assertThat(ProcessSettings.parse("f", GATEWAY + "upstream_speeds = learned\n")
                        .text(Setting.UPSTREAM_SPEEDS))
                .isEqualTo("learned");
        assertThat(problems(GATEWAY + "upstream_speeds = Learned\n"))
                .containsExactly("f:9: [gateway] upstream_speeds: expected learned or ignored, found \"Learned\"");
    }

    @Test
    void shouldOrderRequestsByRankAloneUnlessToldOtherwise() {
        assertThat(ProcessSettings.parse("f", GATEWAY).text(Setting.URGENCY)).isEqualTo("rank");
        assertThat(ProcessSettings.parse("f", GATEWAY + "urgency = route_within_rank\n")
                        .text(Setting.URGENCY))
                .isEqualTo("route_within_rank");
        assertThat(problems(GATEWAY + "urgency = route\n"))
                .containsExactly("f:9: [gateway] urgency: expected rank or route_within_rank, found \"route\"");
    }

    @Test
    void shouldReplaceDoubtfulDraftsWheneverTheAnswerIsInTimeUnlessToldOtherwise() {
        assertThat(ProcessSettings.parse("f", GATEWAY).text(Setting.ESCALATION)).isEqualTo("in_time");
        assertThat(ProcessSettings.parse("f", GATEWAY + "escalation = by_value\n")
                        .text(Setting.ESCALATION))
                .isEqualTo("by_value");
        assertThat(problems(GATEWAY + "escalation = value\n"))
                .containsExactly("f:9: [gateway] escalation: expected in_time or by_value, found \"value\"");
    }

    private static List<String> problems(String text) {
        return assertThrows(SettingsException.class, () -> ProcessSettings.parse("f", text))
                .problems();
    }
}
