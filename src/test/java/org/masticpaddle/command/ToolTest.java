package org.masticpaddle.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticpaddle.document.StandInLogServer;
import org.masticpaddle.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/** Guards against commands that report a wrong result to a script or overwrite a concurrent edit. */
class ToolTest {
    private static final String SAMPLE = Path.of("samples", "routing.ini").toString();

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path directory;

    @Test
    void shouldDistinguishInvalidUsageFromUnavailableLog() {
        assertThat(run("--help")).isEqualTo(ExitCode.SUCCESS);
        assertThat(run()).isEqualTo(ExitCode.USAGE);
        assertThat(run("nothing")).isEqualTo(ExitCode.USAGE);
        assertThat(run("check", "missing.ini")).isEqualTo(ExitCode.USAGE);
        assertThat(run("show", "--log", "nowhere")).isEqualTo(ExitCode.USAGE);
        assertThat(run("show", "--log", "http://127.0.0.1:1", "--timeout-seconds", "0"))
                .isEqualTo(ExitCode.UNAVAILABLE);
        for (final Command command : Commands.all()) {
            assertThat(run(command.name(), "--help")).isEqualTo(ExitCode.SUCCESS);
            assertThat(out.toString(StandardCharsets.UTF_8)).contains(command.description());
        }
    }

    @Test
    void shouldCheckFilesAsOneDocument() throws IOException {
        assertThat(run("check", SAMPLE)).isEqualTo(ExitCode.SUCCESS);
        final Path other = Files.writeString(directory.resolve("other.ini"), "[team products]\nx = 1\n");
        assertThat(run("check", "--output", "json", SAMPLE, other.toString())).isEqualTo(ExitCode.NEGATIVE);
        assertThat(Json.tree(out.toByteArray()).at("/problems/0/kind").asText()).isEqualTo("DUPLICATE_NAME");
        assertThat(Json.tree(out.toByteArray()).at("/problems/1/line").asInt()).isEqualTo(2);
        assertThat(run("check", "--team", "products", SAMPLE)).isEqualTo(ExitCode.NEGATIVE);
    }

    @Test
    void shouldRejectEditsWithStaleBaseRevision() throws IOException {
        try (StandInLogServer log = new StandInLogServer()) {
            final String origin = log.origin();
            assertThat(run("show", "--log", origin)).isEqualTo(ExitCode.NEGATIVE);
            assertThat(run("publish", "--team", "products", "--select", SAMPLE, "--log", origin))
                    .isEqualTo(ExitCode.NEGATIVE);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("expected a declared model");
            assertThat(run("publish", "--team", "platform", SAMPLE, "--log", origin))
                    .isEqualTo(ExitCode.NEGATIVE);
            assertThat(run("publish", "--team", "platform", "--select", SAMPLE, "--log", origin))
                    .isEqualTo(ExitCode.SUCCESS);
            assertThat(run("publish", "--team", "products", "--select", SAMPLE, "--log", origin))
                    .isEqualTo(ExitCode.SUCCESS);
            assertThat(run("diff", "--team", "products", "--select", SAMPLE, "--log", origin))
                    .isEqualTo(ExitCode.SUCCESS);

            assertThat(run("show", "--team", "products", "--log", origin)).isEqualTo(ExitCode.SUCCESS);
            final String shown = out.toString(StandardCharsets.UTF_8);
            assertThat(shown).startsWith("# masticpaddle: team products revision 1\n");
            final Path firstEdit =
                    Files.writeString(directory.resolve("mine"), shown.replace("weight = 4", "weight = 5"));
            final Path concurrentEdit =
                    Files.writeString(directory.resolve("rival"), shown.replace("weight = 4", "weight = 6"));
            assertThat(run("diff", "--team", "products", firstEdit.toString(), "--log", origin))
                    .isEqualTo(ExitCode.NEGATIVE);
            assertThat(out.toString(StandardCharsets.UTF_8))
                    .isEqualTo("~ [products organisation north] weight = 5 (was 4)\n");
            assertThat(run("publish", "--team", "products", firstEdit.toString(), "--log", origin))
                    .isEqualTo(ExitCode.SUCCESS);
            assertThat(Files.readString(firstEdit)).startsWith("# masticpaddle: team products revision 2\n");
            assertThat(run("publish", "--team", "products", concurrentEdit.toString(), "--log", origin))
                    .isEqualTo(ExitCode.NEGATIVE);
            assertThat(err.toString(StandardCharsets.UTF_8)).contains("stale base");
            run("publish", "--output", "json", "--team", "products", concurrentEdit.toString(), "--log", origin);
            assertThat(Json.tree(out.toByteArray()).path("reason").asText()).isEqualTo("STALE_BASE");
            assertThat(run("publish", "--team", "platform", firstEdit.toString(), "--log", origin))
                    .isEqualTo(ExitCode.USAGE);

            assertThat(run("history", "--output", "json", "--log", origin)).isEqualTo(ExitCode.SUCCESS);
            assertThat(Json.tree(out.toByteArray()).size()).isEqualTo(3);
        }
    }

    @Test
    void shouldReportActualOutcomeWhenTheLogFails() {
        try (StandInLogServer log = new StandInLogServer()) {
            final String[] publishArguments = {
                "publish",
                "--team",
                "platform",
                "--select",
                SAMPLE,
                "--log",
                log.origin(),
                "--output",
                "json",
                "--timeout-seconds",
                "1"
            };
            log.failReadsAfterAppend(true);
            assertThat(run(publishArguments)).isEqualTo(ExitCode.UNKNOWN);
            final String[] historyCommand =
                    Json.tree(out.toByteArray()).path("command").asText().split(" ");
            log.failReadsAfterAppend(false);
            assertThat(run("history", "--edit", historyCommand[3], "--log", log.origin()))
                    .isEqualTo(ExitCode.SUCCESS);
            assertThat(run("history", "--edit", "other", "--log", log.origin())).isEqualTo(ExitCode.NEGATIVE);
        }
        try (StandInLogServer log = new StandInLogServer()) {
            log.loseAcknowledgements();
            assertThat(run("publish", "--team", "platform", "--select", SAMPLE, "--log", log.origin()))
                    .isEqualTo(ExitCode.SUCCESS);
        }
    }

    private int run(String... arguments) {
        out.reset();
        err.reset();
        return new Tool(Commands.all())
                .run(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        arguments);
    }
}
