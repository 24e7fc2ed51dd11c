package org.masticpaddle.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.EngineControl.EngineOrder;
import org.masticpaddle.platform.EngineControl.EngineState;
import org.masticpaddle.platform.EngineControl.OrderKind;
import org.masticpaddle.platform.HttpEngineControl;
import org.masticpaddle.platform.PlatformException;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpResponse;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.StreamHandle;
import org.masticpaddle.wire.StreamListener;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against an engine stand-in whose answers, limits or journal would mislead the tests built on it. */
class EngineStandInTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String VERSION = "mastic/v1";
    private static final String QUESTION = "how much rent for one tractor";
    private static final String PROMPT = "user: " + QUESTION + "\n";

    private final HttpClient client = new HttpClient(1);
    private EngineStandIn engine;

    @BeforeEach
    void start() {
        client.start();
        use(settings());
    }

    @AfterEach
    void stop() {
        engine.stop();
        client.stop();
    }

    @Test
    void shouldGiveTheSameTextStreamedAndWhole() {
        final String expected = engine.expectedAnswer(VERSION, PROMPT, "r1", 12);
        final JsonNode whole = Json.tree(ask("r1", 12, false, 1).body());
        assertThat(whole.path("choices").path(0).path("message").path("content").asText())
                .isEqualTo(expected);
        assertThat(whole.path("id").asText()).isEqualTo("r1");
        assertThat(whole.path("usage").path("completion_tokens").asInt()).isEqualTo(12);
        final String events = text(ask("r1", 12, true, 1));
        assertThat(content(events)).isEqualTo(expected);
        assertThat(events).endsWith("data: [DONE]\n\n");
        assertThat(engine.journalEntry("r1").orElseThrow().runs()).isEqualTo(2);
    }

    @Test
    void shouldResumeACancelledStreamAtTheByte() throws Exception {
        final Chunks chunks = new Chunks();
        final StreamHandle handle = client.stream(call("r2", 3000, true, 1), chunks);
        chunks.awaitBytes(2000);
        assertThat(post("/engine/cancel", Map.of("id", "r2"))).contains("true");
        assertThrows(CompletionException.class, () -> handle.finished().join());
        final String first = chunks.text();
        final String rest = post("/engine/resume", Map.of("id", "r2", "from", first.length()));
        assertThat(content(first + rest)).isEqualTo(engine.expectedAnswer(VERSION, PROMPT, "r2", 3000));
        final EngineJournal.Entry entry = engine.journalEntry("r2").orElseThrow();
        assertThat(entry.cancelled()).isTrue();
        assertThat(entry.runs()).isEqualTo(1);
        assertThat(entry.resumes()).isEqualTo(1);
    }

    @Test
    void shouldGoOnWithAnImportedRun() throws Exception {
        final Chunks chunks = new Chunks();
        client.stream(call("r3", 3000, true, 1), chunks);
        chunks.awaitBytes(2000);
        post("/engine/cancel", Map.of("id", "r3"));
        final byte[] exported =
                send("GET", "/engine/kv/r3", Map.of(), new byte[0]).body();
        final EngineStandIn first = engine;
        use(settings());
        assertThat(send("PUT", "/engine/kv/r3", Map.of(), exported).status()).isEqualTo(200);
        final String all = post("/engine/resume", Map.of("id", "r3", "from", 0));
        first.stop();
        assertThat(content(all)).isEqualTo(engine.expectedAnswer(VERSION, PROMPT, "r3", 3000));
        assertThat(engine.journalEntry("r3").orElseThrow().runs()).isEqualTo(0);
    }

    @Test
    void shouldServeUrgentRequestsFirst() {
        engine.stop();
        use(settings().withSlots(1));
        final List<StreamHandle> handles = new ArrayList<>();
        client.stream(call("long", 100_000, true, 1), new Chunks());
        Conditions.await(() -> engine.state().running() == 1);
        handles.add(client.stream(call("background", 2, true, 2), new Chunks()));
        Conditions.await(() -> engine.state().waiting() == 1);
        handles.add(client.stream(call("urgent", 2, true, 0), new Chunks()));
        Conditions.await(() -> engine.state().waiting() == 2);
        post("/engine/cancel", Map.of("id", "long"));
        handles.forEach(handle -> handle.finished().join());
        Conditions.await(() -> engine.journalEntry("background").orElseThrow().endMillis() > 0);
        assertThat(engine.journalEntry("urgent").orElseThrow().startMillis())
                .isAtMost(engine.journalEntry("background").orElseThrow().startMillis());
        assertThat(engine.journalEntry("urgent").orElseThrow().endMillis())
                .isAtMost(engine.journalEntry("background").orElseThrow().endMillis());
    }

    @Test
    void shouldCountCachedPrefixTokens() {
        final String question = "word ".repeat(100);
        final JsonNode first = Json.tree(ask("c1", question).body());
        final JsonNode second = Json.tree(ask("c2", question).body());
        assertThat(cached(first)).isEqualTo(0);
        assertThat(cached(second)).isAtLeast(80);
        final HttpEngineControl control = new HttpEngineControl(client, engine.origin(), TIMEOUT);
        Conditions.await(() -> !control.cacheEvents(0).join().isEmpty());
    }

    @Test
    void shouldRefuseAnOldFencingTokenOnlyWhenItIsEnforced() {
        HttpEngineControl control = new HttpEngineControl(client, engine.origin(), TIMEOUT);
        control.order(new EngineOrder(OrderKind.LOAD_VERSION, "mastic/v2", 7)).join();
        final HttpEngineControl first = control;
        Conditions.await(() -> first.state().join().versions().contains("mastic/v2"));
        final CompletionException error = assertThrows(
                CompletionException.class,
                () -> first.order(new EngineOrder(OrderKind.UNLOAD_VERSION, VERSION, 6))
                        .join());
        assertThat(((PlatformException) error.getCause()).effect()).isEqualTo(PlatformException.Effect.NONE);
        engine.stop();
        use(settings().withFencing(false));
        control = new HttpEngineControl(client, engine.origin(), TIMEOUT);
        control.order(new EngineOrder(OrderKind.CHANGE_ROLE, "decode", 7)).join();
        final EngineState state = control.order(new EngineOrder(OrderKind.UNLOAD_VERSION, VERSION, 6))
                .join();
        assertThat(state.versions()).isEmpty();
    }

    @Test
    void shouldShowEachFaultOfAnAnswer() {
        engine.faults().enableForVersion(Fault.ANSWER_OF_ANOTHER, VERSION, 0);
        assertThat(Json.tree(ask("f1", 4, false, 1).body()).path("id").asText()).isEqualTo("other-f1");
        engine.faults().disableAll();
        engine.faults().enableTimes(Fault.ANSWER_CUT, 0, 1);
        assertThrows(CompletionException.class, () -> ask("f2", 40, true, 1));
        engine.faults().enable(Fault.VERSION_ERRORS, 100);
        assertThat(ask("f3", 4, false, 1).status()).isEqualTo(500);
        engine.faults().disable(Fault.VERSION_ERRORS);
        engine.faults().enable(Fault.VERSION_LOW_QUALITY, 10);
        assertThat(AnswerText.parseQuality(content(text(ask("f4", 4, true, 1)))).orElseThrow())
                .isEqualTo(0.1);
        engine.faults().enable(Fault.ANSWER_DUPLICATED, 0);
        assertThat(text(ask("f5", 4, true, 1)).split("data: \\{", -1)).hasLength(11);
        engine.faults().enable(Fault.REFUSE, 0);
        assertThat(ask("f6", 4, true, 1).status()).isEqualTo(503);
        assertThat(engine.journalEntry("f6")).isEqualTo(Optional.empty());
    }

    @Test
    void shouldAnswerBadInputWithAnError() {
        assertThat(send("POST", "/v1/chat/completions", Map.of(), "{".getBytes(StandardCharsets.UTF_8))
                        .status())
                .isEqualTo(400);
        assertThat(ask("unknown", 1, "mastic/none").status()).isEqualTo(404);
    }

    private static EngineSettings settings() {
        return EngineSettings.of(0.02, new EngineSettings.Version(VERSION, 0.8, 1));
    }

    private void use(EngineSettings settings) {
        engine = new EngineStandIn(settings);
        engine.start();
    }

    private HttpResponse ask(String id, int tokens, boolean stream, int priority) {
        return client.send(call(id, tokens, stream, priority)).join();
    }

    private HttpResponse ask(String id, String question) {
        return send("POST", "/v1/chat/completions", Map.of("X-Request-Id", id), body(VERSION, question, 4, false));
    }

    private HttpResponse ask(String id, int tokens, String version) {
        return send("POST", "/v1/chat/completions", Map.of("X-Request-Id", id), body(version, "hi", tokens, false));
    }

    private HttpRequest call(String id, int tokens, boolean stream, int priority) {
        final Map<String, String> headers = Map.of("X-Request-Id", id, "X-Priority", Integer.toString(priority));
        final byte[] body = body(VERSION, QUESTION, tokens, stream);
        return new HttpRequest(engine.origin(), "POST", "/v1/chat/completions", headers, body, TIMEOUT, false);
    }

    private static byte[] body(String version, String question, int tokens, boolean stream) {
        return Json.encode(Map.of(
                "model", version,
                "max_tokens", tokens,
                "stream", stream,
                "messages", List.of(Map.of("role", "user", "content", question))));
    }

    private String post(String path, Object message) {
        return text(send("POST", path, Map.of(), Json.encode(message)));
    }

    private HttpResponse send(String method, String path, Map<String, String> headers, byte[] body) {
        return client.send(new HttpRequest(engine.origin(), method, path, headers, body, TIMEOUT, false))
                .join();
    }

    private static String text(HttpResponse answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }

    private static int cached(JsonNode completion) {
        return completion
                .path("usage")
                .path("prompt_tokens_details")
                .path("cached_tokens")
                .asInt();
    }

    private static String content(String events) {
        final StringBuilder content = new StringBuilder();
        events.lines()
                .filter(line -> line.startsWith("data: {"))
                .map(line -> Json.tree(line.substring(6).getBytes(StandardCharsets.UTF_8)))
                .forEach(tree -> content.append(tree.path("choices")
                        .path(0)
                        .path("delta")
                        .path("content")
                        .asText("")));
        return content.toString();
    }

    private static final class Chunks implements StreamListener {
        private final StringBuffer received = new StringBuffer();

        @Override
        public void onHead(int status, Map<String, String> headers) {}

        @Override
        public void onBytes(byte[] bytes) {
            received.append(new String(bytes, StandardCharsets.UTF_8));
        }

        String text() {
            return received.toString();
        }

        void awaitBytes(int count) {
            Conditions.await(() -> received.length() >= count);
        }
    }
}
