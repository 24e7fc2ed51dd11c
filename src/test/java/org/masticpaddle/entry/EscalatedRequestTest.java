package org.masticpaddle.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.masticpaddle.bench.Deployment;
import org.masticpaddle.bench.LocalDeployment;
import org.masticpaddle.bench.LocalPlatform;
import org.masticpaddle.document.TeamText;
import org.masticpaddle.standin.Conditions;
import org.masticpaddle.standin.EngineSettings;
import org.masticpaddle.standin.RatingStandIn;

import static com.google.common.truth.Truth.assertThat;

/** Guards against an entry that says that a request has not run, although a draft of its answer was made and rated. */
@Timeout(120)
class EscalatedRequestTest {
    private static final int CALLERS = 60;
    /** Deadlines of the bursts. On a slow machine all requests of a short one fail before their drafts are made. */
    private static final int[] DEADLINES_MILLIS = {2_500, 5_000, 10_000, 20_000};

    private LocalDeployment deployment;

    @BeforeEach
    void start() throws IOException {
        final Deployment configuration = new Deployment(
                "test", List.of("domain-a", "domain-b"), "model-engines", 2, "booking-app", 1, 1, 2, 0.2);
        final List<EngineSettings.Version> versions = Stream.of(
                        "model-a/v1", "model-a/v2", "model-a/v3", "model-b/v2", "model-b/v3")
                .map(name -> new EngineSettings.Version(name, name.startsWith("model-a") ? 0.1 : 0.9, 1))
                .toList();
        final LocalPlatform platform = new LocalPlatform(
                configuration,
                versions,
                versions.stream().map(EngineSettings.Version::name).toList());
        deployment = new LocalDeployment(
                configuration, platform, TeamText.split(Files.readString(Path.of("samples", "routing.ini"))));
        deployment.start();
        Conditions.await(
                () -> deployment.ready() && send(0, DEADLINES_MILLIS[0]).status() > 0);
    }

    @AfterEach
    void stop() {
        deployment.stop();
    }

    @Test
    void shouldNotCallARequestNotRunAfterItsDraftWasRated() {
        final List<RawCaller.Reply> failedAfterDraft = new ArrayList<>();
        for (int burst = 0; burst < DEADLINES_MILLIS.length && failedAfterDraft.isEmpty(); burst++) {
            failedAfterDraft.addAll(failedAfterDraft(sendBurst(DEADLINES_MILLIS[burst])));
        }
        assertThat(failedAfterDraft).isNotEmpty();
        failedAfterDraft.forEach(reply -> assertThat(reply.body()).contains("\"run\":\"unknown\""));
    }

    private List<RawCaller.Reply> sendBurst(int deadlineMillis) {
        final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        final List<RawCaller.Reply> replies = IntStream.rangeClosed(1, CALLERS)
                .mapToObj(number -> CompletableFuture.supplyAsync(() -> send(number, deadlineMillis), callers))
                .toList()
                .stream()
                .map(CompletableFuture::join)
                .toList();
        callers.shutdown();
        return replies;
    }

    private List<RawCaller.Reply> failedAfterDraft(List<RawCaller.Reply> replies) {
        final Set<String> drafted = deployment.platform().ratings().journal().stream()
                .map(RatingStandIn.Entry::requestId)
                .collect(Collectors.toSet());
        return replies.stream()
                .filter(reply -> reply.status() >= 500)
                .filter(reply -> reply.header("masticpaddle-request")
                        .filter(drafted::contains)
                        .isPresent())
                .toList();
    }

    private RawCaller.Reply send(int number, int deadlineMillis) {
        final byte[] body = ("{\"max_tokens\":80,\"messages\":[{\"role\":\"user\",\"content\":\"question " + number
                        + "\"}]}")
                .getBytes(StandardCharsets.UTF_8);
        try (RawCaller caller = new RawCaller(deployment.entryOrigins().get(0))) {
            return caller.send(RawCaller.request(
                            "POST /v1/chat/completions",
                            "Authorization: Bearer demo-key-north\nMasticpaddle-Deadline-Ms: " + deadlineMillis,
                            body))
                    .reply();
        } catch (IOException e) {
            return new RawCaller.Reply(0, "", "");
        }
    }
}
