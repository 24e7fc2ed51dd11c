package org.masticpaddle.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.masticpaddle.bench.Deployment;
import org.masticpaddle.bench.LocalDeployment;
import org.masticpaddle.bench.LocalPlatform;
import org.masticpaddle.document.StandInLogServer;
import org.masticpaddle.document.TeamText;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.standin.Conditions;
import org.masticpaddle.standin.EngineSettings;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.Json;

import static com.google.common.truth.Truth.assertThat;

/** Guards against commands that show a deployment other than it is, or that change it. */
class OperationsCommandsTest {
    private static final String SAMPLE = Path.of("samples", "routing.ini").toString();

    private static LocalDeployment deployment;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @BeforeAll
    static void start() throws IOException {
        final Deployment shape = new Deployment(
                "test", List.of("domain-a", "domain-b"), "model-engines", 2, "booking-app", 1, 1, 16, 0.2);
        final List<EngineSettings.Version> versions = Stream.of("model-a/v1", "model-a/v2", "model-b/v2")
                .map(name -> new EngineSettings.Version(name, 0.9, 1))
                .toList();
        final LocalPlatform platform = new LocalPlatform(
                shape,
                versions,
                versions.stream().map(EngineSettings.Version::name).toList());
        deployment = new LocalDeployment(shape, platform, TeamText.split(Files.readString(Path.of(SAMPLE))));
        deployment.start();
        Conditions.await(deployment::ready);
    }

    @AfterAll
    static void stop() {
        deployment.stop();
    }

    @Test
    void shouldMarkProcessesThatLagOrDoNotAnswer() throws IOException {
        final String list = deployment.platform().instances().origin().toString();
        Conditions.await(() -> run("status", "--instances", list) == ExitCode.SUCCESS);
        assertThat(text()).contains("4 processes, newest revision 2, 0 marked");
        final URI nobody = URI.create("http://127.0.0.1:1");
        deployment.platform().register("lost", "model-engines", "test", "domain-a", nobody);
        try {
            assertThat(run("status", "--instances", list, "--output", "json")).isEqualTo(ExitCode.NEGATIVE);
            final JsonNode lost = Stream.of(Json.tree(out.toByteArray()).path("processes"))
                    .flatMap(rows -> Stream.iterate(0, index -> index < rows.size(), index -> index + 1)
                            .map(rows::get))
                    .filter(row -> row.path("id").asText().equals("lost"))
                    .findFirst()
                    .orElseThrow();
            assertThat(lost.path("mark").asText()).isEqualTo("NO ANSWER");
        } finally {
            deployment
                    .platform()
                    .instances()
                    .register(new Instance("lost", "model-engines", "test", "domain-a", nobody, Instance.State.GONE));
        }
        assertThat(run("status", "--origin", entry())).isEqualTo(ExitCode.SUCCESS);
        assertThat(run("status", "--instances", "http://127.0.0.1:1")).isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(run("status")).isEqualTo(ExitCode.USAGE);
        final String log = deployment.platform().log().origin().toString();
        assertThat(run("status", "--origin", entry(), "--log", log)).isEqualTo(ExitCode.SUCCESS);
        try (StandInLogServer other = new StandInLogServer()) {
            for (final String team : List.of("platform", "products")) {
                assertThat(run("publish", "--team", team, "--select", SAMPLE, "--log", other.origin()))
                        .isEqualTo(ExitCode.SUCCESS);
            }
            final String[] once = {"publish", "--team", "products", "--select", "--base", "1", SAMPLE, "--log"};
            final String[] again = Arrays.copyOf(once, once.length + 1);
            again[once.length] = other.origin();
            assertThat(run(again)).isEqualTo(ExitCode.SUCCESS);
            assertThat(run("status", "--origin", entry(), "--log", other.origin()))
                    .isEqualTo(ExitCode.NEGATIVE);
            assertThat(text()).contains("BEHIND");
        }
    }

    @Test
    void shouldExplainTheWayOfARequest() {
        Conditions.await(() -> run("explain", "--entry", entry(), "--organisation", "east", "--output", "json") == 0
                && Json.tree(out.toByteArray()).at("/upstreams/0/eligible").asBoolean());
        final JsonNode answer = Json.tree(out.toByteArray());
        assertThat(answer.path("plan").asText()).isEqualTo("single");
        assertThat(answer.path("words").asText()).contains("model-a/v2");
        final Map<String, String> verdicts = new TreeMap<>();
        answer.path("candidates")
                .forEach(candidate -> verdicts.put(
                        candidate.path("version").asText(),
                        candidate.path("verdict").asText()));
        assertThat(verdicts).containsEntry("model-b/v2", "not allowed, or not asked for");
        assertThat(verdicts).containsEntry("model-a/v3", "only by the stages of its roll-out");
        assertThat(run("explain", "--entry", entry(), "--organisation", "north", "--model", "model-b/v1"))
                .isEqualTo(ExitCode.NEGATIVE);
        assertThat(text()).contains("withdrawn");
        assertThat(run("explain", "--entry", entry(), "--organisation", "nobody"))
                .isEqualTo(ExitCode.NEGATIVE);
        assertThat(run("explain", "--entry", entry(), "--organisation", "north", "--session", "forged.token"))
                .isEqualTo(ExitCode.NEGATIVE);
        assertThat(run("explain", "--entry", "http://127.0.0.1:1", "--organisation", "north"))
                .isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(deployment.platform().engines().stream()
                        .mapToInt(engine -> engine.journal().size())
                        .sum())
                .isEqualTo(0);
    }

    @Test
    void shouldReportWhatEntriesCounted() {
        final String log = deployment.platform().log().origin().toString();
        final String body = "{\"model\":\"model-b/v1\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
        LogOptions.withClient(client -> client.send(new HttpRequest(
                        URI.create(entry()),
                        "POST",
                        "/v1/chat/completions",
                        Map.of("Authorization", "Bearer demo-key-north"),
                        body.getBytes(StandardCharsets.UTF_8),
                        Duration.ofSeconds(5),
                        false))
                .join());
        Conditions.await(() -> run("report", "--log", log, "--output", "json") == ExitCode.NEGATIVE);
        final JsonNode group = Json.tree(out.toByteArray()).at("/groups/0");
        assertThat(group.path("organisation").asText()).isEqualTo("north");
        assertThat(group.path("targetMillis").asInt()).isEqualTo(1_000);
        assertThat(group.at("/refused/no_upstream").asInt()).isEqualTo(1);
        assertThat(group.at("/windows/MINUTES_5/bad").asInt()).isEqualTo(1);
        assertThat(run("report", "--log", log, "--objective", "1")).isEqualTo(ExitCode.USAGE);
        assertThat(run("report", "--log", "http://127.0.0.1:1")).isEqualTo(ExitCode.UNAVAILABLE);
    }

    private static String entry() {
        return deployment.entryOrigins().get(0).toString();
    }

    private String text() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private int run(String... arguments) {
        out.reset();
        err.reset();
        return new Tool(Commands.all()).run(new PrintStream(out), new PrintStream(err), arguments);
    }
}
