package org.masticpaddle.gateway;

import org.junit.jupiter.api.Test;
import org.masticpaddle.settings.ProcessSettings;
import org.masticpaddle.settings.SettingsException;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against admission by shares in deployments whose settings do not ask for it. */
class AdmissionModeTest {
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
    void shouldSendAllRequestsAtOnceByDefault() {
        assertThat(AdmissionMode.of(ProcessSettings.parse("f", GATEWAY)).decides())
                .isFalse();
    }

    @Test
    void shouldDecideIfTheSettingsSaySo() {
        assertThat(AdmissionMode.of(ProcessSettings.parse("f", GATEWAY + "admission = fair\n"))
                        .decides())
                .isTrue();
    }

    @Test
    void shouldReportAnUnknownMode() {
        final SettingsException error = assertThrows(
                SettingsException.class, () -> ProcessSettings.parse("f", GATEWAY + "admission = fairly\n"));
        assertThat(error.problems())
                .containsExactly("f:9: [gateway] admission: expected fair or immediate, found \"fairly\"");
    }
}
