package org.masticpaddle.entry;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.masticpaddle.bench.Deployment;
import org.masticpaddle.bench.LocalDeployment;
import org.masticpaddle.bench.LocalPlatform;
import org.masticpaddle.document.TeamText;
import org.masticpaddle.standin.Conditions;
import org.masticpaddle.standin.EngineJournal;
import org.masticpaddle.standin.EngineSettings;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against invalid input that stops an entry, gets a response without a typed error or exposes internals to a
 * caller.
 */
class CallerInterfaceTest {
    private static final String NORTH = "Authorization: Bearer demo-key-north\n";
    private static final String SOUTH = "Authorization: Bearer demo-key-south\n";
    private static final String EAST = "Authorization: Bearer demo-key-east\n";
    private static final String NON_IDEMPOTENT = NORTH + "Masticpaddle-Idempotent: false\nIdempotency-Key: a\n";
    private static final String CHAT = "POST /v1/chat/completions";
    private static final String BOOK = "POST /services/bookings/bookings";
    private static final byte[] EMPTY = new byte[0];

    private static LocalDeployment deployment;
    private static URI entry;

    @BeforeAll
    static void start() throws IOException {
        final Deployment configuration = new Deployment(
                "test", List.of("domain-a", "domain-b"), "model-engines", 2, "booking-app", 1, 1, 16, 0.2);
        final List<EngineSettings.Version> versions = Stream.of(
                        "model-a/v1", "model-a/v2", "model-a/v3", "model-b/v2", "model-b/v3")
                .map(name -> new EngineSettings.Version(name, 0.9, 1))
                .toList();
        final LocalPlatform platform = new LocalPlatform(
                configuration,
                versions,
                versions.stream().map(EngineSettings.Version::name).toList());
        deployment = new LocalDeployment(
                configuration, platform, TeamText.split(Files.readString(Path.of("samples", "routing.ini"))));
        deployment.start();
        entry = deployment.entryOrigins().get(0);
        Conditions.await(() -> deployment.ready()
                && exchange(RawCaller.request(CHAT, NORTH, chat("ready", 1))).status() == 200);
    }

    @AfterAll
    static void stop() {
        deployment.stop();
    }

    static Stream<Case> refused() {
        return Stream.of(
                new Case("no JSON", CHAT, NORTH, bytes("{\"messages\":"), 400, "invalid_request"),
                new Case("no object", CHAT, NORTH, bytes("[]"), 400, "invalid_request"),
                new Case("no messages", CHAT, NORTH, bytes("{}"), 400, "invalid_request"),
                new Case("empty body", CHAT, NORTH, EMPTY, 400, "invalid_request"),
                new Case("deep", CHAT, NORTH, bytes("[".repeat(100_000)), 400, "invalid_request"),
                new Case("bad UTF-8", CHAT, NORTH, new byte[] {'{', (byte) 0xC3, '}'}, 400, "invalid_request"),
                new Case("messages of numbers", CHAT, NORTH, chatWith("messages", "[1]"), 400, "invalid_request"),
                new Case("no message", CHAT, NORTH, chatWith("messages", "[]"), 400, "invalid_request"),
                new Case("no key", CHAT, "", chat("x", 1), 401, "unauthorized"),
                new Case("no bearer", CHAT, "Authorization: Basic eA==", chat("x", 1), 401, "unauthorized"),
                new Case("wrong key", CHAT, "Authorization: Bearer x", chat("x", 1), 401, "unauthorized"),
                new Case("wrong key, list", "GET /v1/models", "", EMPTY, 401, "unauthorized"),
                new Case("other's model", CHAT, EAST, chatWith("model", "\"model-b/v2\""), 403, "not_allowed"),
                new Case("no such model", CHAT, NORTH, chatWith("model", "\"model-x\""), 403, "not_allowed"),
                new Case("half a version", CHAT, NORTH, chatWith("model", "\"model-a/\""), 403, "not_allowed"),
                new Case("long version", CHAT, NORTH, chatWith("model", "\"a/b/c\""), 403, "not_allowed"),
                new Case("model of number", CHAT, NORTH, chatWith("model", "7"), 400, "invalid_request"),
                new Case("withdrawn", CHAT, NORTH, chatWith("model", "\"model-b/v1\""), 503, "no_upstream"),
                new Case("tokens below 0", CHAT, NORTH, chatWith("max_tokens", "-1"), 400, "invalid_request"),
                new Case("tokens of 1.5", CHAT, NORTH, chatWith("max_tokens", "1.5"), 400, "invalid_request"),
                new Case("tokens as text", CHAT, NORTH, chatWith("max_tokens", "\"x\""), 400, "invalid_request"),
                new Case("most tokens", CHAT, NORTH, chatWith("max_tokens", "2147483647"), 400, "invalid_request"),
                new Case("huge number", CHAT, NORTH, chatWith("max_tokens", "1e999"), 400, "invalid_request"),
                header("Masticpaddle-Deadline-Ms: 0", 504, "deadline_exceeded"),
                header("Masticpaddle-Deadline-Ms: -5", 504, "deadline_exceeded"),
                header("Masticpaddle-Deadline-Ms: soon", 400, "invalid_request"),
                header("Masticpaddle-Deadline-Ms: NaN", 400, "invalid_request"),
                header("Masticpaddle-Deadline-Ms: 1e999", 400, "invalid_request"),
                header("Masticpaddle-Quality: 1.5", 400, "invalid_request"),
                header("Masticpaddle-Quality: NaN", 400, "invalid_request"),
                header("Masticpaddle-Quality: best", 400, "invalid_request"),
                header("Masticpaddle-Rank: first", 400, "invalid_request"),
                header("Masticpaddle-Kind: " + "x".repeat(300), 400, "invalid_request"),
                header("Masticpaddle-Session: " + "x".repeat(40_000), 431, "headers_too_large"),
                header("Masticpaddle-Session: forged.token", 400, "invalid_request"),
                header("Masticpaddle-Session: .", 400, "invalid_request"),
                new Case("path", "GET /nothing", NORTH, EMPTY, 404, "not_found"),
                new Case("internal path", "POST /internal/nothing", "", EMPTY, 404, "not_found"),
                new Case("service", "GET /services/other/x", NORTH, EMPTY, 404, "not_found"),
                new Case("no service", "GET /services/", NORTH, EMPTY, 404, "not_found"),
                new Case("other's service", BOOK, EAST, EMPTY, 404, "not_found"),
                new Case("method", "GET /v1/chat/completions", NORTH, EMPTY, 405, "method_not_allowed"),
                new Case("method, list", "DELETE /v1/models", NORTH, EMPTY, 405, "method_not_allowed"),
                new Case("question", "POST /internal/explain", "", bytes("{}"), 400, "invalid_request"),
                key("Idempotency-Key: no-time", "invalid_idempotency_key"),
                key("Idempotency-Key: a\nIdempotency-Key-Created: now", "invalid_idempotency_key"),
                keyCreated(-7_200),
                keyCreated(600),
                key("Idempotency-Key: " + "k".repeat(300), "invalid_request"),
                new Case("chat, key without time", CHAT, NON_IDEMPOTENT, chat("x", 1), 400, "invalid_idempotency_key"),
                new Case("long length", CHAT, NORTH + "Content-Length: 9000000", EMPTY, 413, "body_too_large"));
    }

    @ParameterizedTest
    @MethodSource("refused")
    void shouldRejectInvalidRequestWithTypedErrorAndKeepServing(Case input) {
        final RawCaller.Reply reply = exchange(RawCaller.request(input.line, input.headers, input.body));
        assertWithMessage(reply.toString()).that(reply.status()).isEqualTo(input.status);
        assertThat(reply.header("Content-Type").orElse("")).startsWith("application/json");
        assertThat(reply.error().path("type").asText()).isEqualTo(input.type);
        assertThat(reply.error().path("message").asText()).isNotEmpty();
        assertThat(reply.error().path("run").asText()).isEqualTo(input.run);
        assertThat(reply.body()).doesNotContain("Exception");
        assertThat(reply.body()).doesNotContain("\tat ");
        assertThat(reply.header("Retry-After").isPresent()).isEqualTo(input.status == 503 || input.status == 429);
        assertServesRequests();
    }

    @Test
    void shouldRejectSessionTokenOfAnotherOrganisation() {
        final RawCaller.Reply first =
                exchange(RawCaller.request(CHAT, NORTH + "Masticpaddle-Session: s1", chat("x", 1)));
        final String token = first.header("Masticpaddle-Session").orElseThrow();
        final byte[] otherOrganisation =
                RawCaller.request(CHAT, SOUTH + "Masticpaddle-Session: " + token, chat("x", 1));
        assertThat(exchange(otherOrganisation).error().path("type").asText()).isEqualTo("invalid_request");
        final byte[] sameOrganisation = RawCaller.request(CHAT, NORTH + "Masticpaddle-Session: " + token, chat("x", 1));
        assertThat(exchange(sameOrganisation).status()).isEqualTo(200);
    }

    @Test
    void shouldRejectIdempotencyKeyWithAnotherBody() {
        final String key =
                NORTH + "Idempotency-Key: " + UUID.randomUUID() + "\nIdempotency-Key-Created: " + timestamp(0);
        final RawCaller.Reply first = exchange(RawCaller.request(BOOK, key, bytes("{\"day\":1}")));
        assertWithMessage(first.toString()).that(first.status()).isEqualTo(201);
        final RawCaller.Reply repeated = exchange(RawCaller.request(BOOK, key, bytes("{\"day\":1}")));
        assertThat(repeated.body()).isEqualTo(first.body());
        final RawCaller.Reply other = exchange(RawCaller.request(BOOK, key, bytes("{\"day\":2}")));
        assertThat(other.status()).isEqualTo(422);
        assertThat(other.error().path("type").asText()).isEqualTo("key_reused");
        assertThat(other.error().path("run").asText()).isAnyOf("ran", "unknown");
        final String keyOfOther = key.replace("demo-key-north", "demo-key-south");
        assertThat(exchange(RawCaller.request(BOOK, keyOfOther, bytes("{\"day\":1}")))
                        .body())
                .isNotEqualTo(first.body());
        assertServesRequests();
    }

    @Test
    void shouldRejectHeadersAboveServerLimitWithEmptyBody() {
        final RawCaller.Reply reply =
                exchange(RawCaller.request(CHAT, NORTH + "Masticpaddle-Kind: " + "x".repeat(70_000), chat("x", 1)));
        assertWithMessage(reply.toString()).that(reply.status()).isEqualTo(400);
        assertThat(reply.body()).isEmpty();
        assertServesRequests();
    }

    @Test
    void shouldRejectChunkedBodyAboveLimit() {
        final RawCaller.Reply reply = exchange(RawCaller.request(
                CHAT,
                NORTH + "Transfer-Encoding: chunked",
                bytes("400001\r\n" + "x".repeat(0x400001) + "\r\n0\r\n\r\n")));
        assertThat(reply.status()).isEqualTo(413);
        assertThat(reply.error().path("run").asText()).isEqualTo("not_run");
        assertServesRequests();
    }

    @Test
    void shouldServeOtherCallersDuringSlowRequests() throws IOException {
        final byte[] request = RawCaller.request(CHAT, NORTH, chat("slow", 1));
        try (RawCaller idleCaller = new RawCaller(entry);
                RawCaller slowCaller = new RawCaller(entry)) {
            idleCaller.send(bytes("POST /v1/chat"));
            for (int index = 0; index < request.length - 1; index++) {
                slowCaller.send(new byte[] {request[index]});
            }
            assertServesRequests();
            slowCaller.send(new byte[] {request[request.length - 1]});
            assertThat(slowCaller.reply().status()).isEqualTo(200);
        }
    }

    @Test
    void shouldRespondOnHalfClosedConnection() throws IOException {
        try (RawCaller caller = new RawCaller(entry)) {
            caller.send(RawCaller.request(CHAT, NORTH, chat("half", 1))).halfClose();
            assertThat(caller.reply().status()).isEqualTo(200);
        }
    }

    @Test
    void shouldKeepServingAfterDisconnectDuringRequest() throws IOException {
        final byte[] request = RawCaller.request(CHAT, NORTH, chat("broken", 1));
        for (final int length : new int[] {5, 60, request.length - 3}) {
            try (RawCaller caller = new RawCaller(entry)) {
                caller.send(Arrays.copyOf(request, length));
            }
            assertServesRequests();
        }
    }

    @Test
    void shouldCancelEngineRunWhenStreamingCallerDisconnects() throws IOException {
        final long cancelledBefore = cancelledRuns();
        final byte[] body = bytes(
                "{\"stream\":true,\"model\":\"model-a/v2\",\"max_tokens\":2000,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}");
        try (RawCaller caller = new RawCaller(entry)) {
            caller.send(RawCaller.request(CHAT, NORTH, body));
            assertThat(caller.nextBytes()).contains("200 OK");
        }
        Conditions.await(() -> cancelledRuns() > cancelledBefore);
        assertServesRequests();
    }

    private static long cancelledRuns() {
        return deployment.platform().engines().stream()
                .flatMap(engine -> engine.journal().stream())
                .filter(EngineJournal.Entry::cancelled)
                .count();
    }

    private static void assertServesRequests() {
        assertThat(exchange(RawCaller.request("GET /v1/models", NORTH, EMPTY)).status())
                .isEqualTo(200);
        assertThat(exchange(RawCaller.request(CHAT, NORTH, chat("next", 1))).status())
                .isEqualTo(200);
    }

    private static RawCaller.Reply exchange(byte[] request) {
        try (RawCaller caller = new RawCaller(entry)) {
            return caller.send(request).reply();
        } catch (IOException e) {
            return new RawCaller.Reply(0, "", "");
        }
    }

    private static Case header(String header, int status, String type) {
        return new Case(header, CHAT, NORTH + header, chat("x", 1), status, type);
    }

    private static Case key(String headers, String type) {
        return new Case("booking, " + headers, BOOK, NORTH + headers, bytes("{}"), 400, type);
    }

    /**
     * Case of a key that is too old or from the future. An earlier request with it may no longer be on the log, so the
     * run state is unknown.
     */
    private static Case keyCreated(long seconds) {
        final String headers = "Idempotency-Key: a\nIdempotency-Key-Created: " + timestamp(seconds);
        return new Case(
                "booking, " + seconds, BOOK, NORTH + headers, bytes("{}"), 400, "invalid_idempotency_key", "unknown");
    }

    private static String timestamp(long seconds) {
        return Instant.now().plusSeconds(seconds).toString();
    }

    private static byte[] chat(String prompt, int tokens) {
        return bytes(
                "{\"max_tokens\":" + tokens + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}");
    }

    /** Chat request with an additional field; a second field of the same name overrides the first. */
    private static byte[] chatWith(String field, String value) {
        return bytes("{\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\"" + field + "\":" + value + "}");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Invalid request and the expected error. */
    private record Case(String name, String line, String headers, byte[] body, int status, String type, String run) {
        Case(String name, String line, String headers, byte[] body, int status, String type) {
            this(name, line, headers, body, status, type, "not_run");
        }

        @Override
        public String toString() {
            return name.substring(0, Math.min(60, name.length()));
        }
    }
}
