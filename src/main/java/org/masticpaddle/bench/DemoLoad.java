package org.masticpaddle.bench;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.wire.Rank;

/** Mixed load of the demonstration: streams, whole answers, sessions, lookups and bookings. Used by one thread. */
final class DemoLoad {
    private static final List<String> KINDS = List.of("chat", "summary", "review");
    private static final int SESSIONS = 20;

    private final List<String> keys;
    private final UniformRandomProvider random;
    private final Supplier<String> idempotencyKeys;

    DemoLoad(List<String> keys, UniformRandomProvider random, Supplier<String> idempotencyKeys) {
        this.keys = List.copyOf(keys);
        this.random = random;
        this.idempotencyKeys = idempotencyKeys;
    }

    LoadRequest nextRequest() {
        final Map<String, String> headers = new HashMap<>();
        final int draw = random.nextInt(100);
        final Rank rank = Rank.values()[random.nextInt(Rank.values().length)];
        headers.put("Content-Type", "application/json");
        headers.put("Masticpaddle-Rank", rank.label());
        if (draw < 10) {
            headers.put("Authorization", "Bearer " + keys.get(random.nextInt(2)));
            headers.put("Idempotency-Key", idempotencyKeys.get());
            final byte[] body = ("{\"slot\":" + random.nextInt(1000) + "}").getBytes(StandardCharsets.UTF_8);
            return new LoadRequest("booking", "POST", "/services/bookings/bookings", headers, body);
        }
        if (draw < 20) {
            headers.put("Authorization", "Bearer " + keys.get(random.nextInt(2)));
            return new LoadRequest("lookup", "GET", "/services/bookings/availability", headers, new byte[0]);
        }
        headers.put("Authorization", "Bearer " + keys.get(random.nextInt(keys.size())));
        headers.put("Masticpaddle-Kind", KINDS.get(random.nextInt(KINDS.size())));
        if (draw < 40) {
            headers.put("Masticpaddle-Session", "session-" + random.nextInt(SESSIONS));
        }
        return new LoadRequest(rank.label(), "POST", "/v1/chat/completions", headers, chatBody());
    }

    private byte[] chatBody() {
        final List<String> words = new ArrayList<>();
        final int length = 20 + random.nextInt(80);
        for (int index = 0; index < length; index++) {
            words.add(String.format(Locale.ROOT, "word%d", random.nextInt(500)));
        }
        return ChatText.requestBody("auto", String.join(" ", words), 8 + random.nextInt(24), random.nextBoolean());
    }
}
