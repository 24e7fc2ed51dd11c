package lab2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticpaddle.adapter.standin.StoreStandIn;

/**
 * Case: workers answer bookings with long bodies before they have read them, keep the channel and read on later. The gateway closes the
 * channel as an idle one while the rest of the body is still to be sent: the client has its success, and the worker never gets what it
 * was sent.
 *
 * <p>Rule UNASKED: a worker runs a request with its body changed.
 */
public final class CutBodies {
    private static final int BODY_BYTES = 4_190_000;
    /** Small, as the windows of the platform's links are. */
    private static final int WINDOW_BYTES = 64 * 1024;
    private static final long READ_ON_MILLIS = 1_500;
    private static final long DEADLINE_MILLIS = 4_000;
    private static final int BOOKINGS = 60;
    private static final long BOOKING_EVERY_MILLIS = 500;

    private final Set<String> succeeded = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> statuses = new ConcurrentHashMap<>();
    private final Map<String, String> bodies = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        Lab.open(Path.of(arguments[0]));
        int result = 2;
        try {
            result = new CutBodies().run();
        } catch (Exception e) {
            Lab.note("the case could not run: %s", e);
        }
        Lab.note("exit %d", result);
        System.exit(result);
    }

    private int run() throws Exception {
        final StoreStandIn store = new StoreStandIn("127.0.0.1");
        store.start();
        Lab.configure(
                store, 1, Lab.route("book", "non_idempotent", "plain", 1, DEADLINE_MILLIS, ""), Lab.service("plain"));
        for (int index = 0; index < 3; index++) {
            Lab.register(store, new Worker("w-" + index, this::serve, WINDOW_BYTES), "plain", "v1", "ready", 1);
        }
        try (Gateway gateway = new Gateway(Files.createTempDirectory("review-2"), "front-1", "z", store.port())) {
            gateway.start();
            if (!gateway.awaitReady(15_000)) {
                Lab.note("the gateway does not start");
                return 2;
            }
            final byte[] body = new byte[BODY_BYTES];
            Arrays.fill(body, (byte) 'x');
            final long start = Lab.millis();
            for (int number = 0; number < BOOKINGS; number++) {
                Lab.sleepUntil(start + number * BOOKING_EVERY_MILLIS);
                final String id = "b" + number;
                Lab.daemon(() -> {
                    final Client.Answer answer =
                            Client.call(gateway.front(), "POST", "/book/1", id, "key-1", DEADLINE_MILLIS, body);
                    statuses.computeIfAbsent("POST " + answer.status(), key -> new AtomicInteger()).incrementAndGet();
                    if (answer.status() == 200) {
                        succeeded.add(id);
                    }
                });
            }
            Thread.sleep(DEADLINE_MILLIS + READ_ON_MILLIS + 1_500);
        }
        final long cut = succeeded.stream().filter(id -> !"whole".equals(bodies.get(id))).count();
        for (int number = 0; number < BOOKINGS; number++) {
            final String id = "b" + number;
            Lab.note("%s: %s, body %s", id, succeeded.contains(id) ? "success" : "no success", bodies.get(id));
        }
        Lab.note("answers %s; bookings with a success whose worker never got the whole body: %d", statuses, cut);
        Lab.note(cut > 0 ? "UNASKED is broken" : "UNASKED held");
        return cut > 0 ? 1 : 0;
    }

    private boolean serve(Request request, java.io.InputStream in, java.io.OutputStream out, java.net.Socket socket)
            throws IOException, InterruptedException {
        final String id = request.header("request-id");
        final String answer = Worker.head(request, 200, 2).replace("\r\n\r\n", "\r\nKeep-Alive: timeout=5\r\n\r\n") + "ok";
        if (Lab.TROUBLE) {
            Request.write(out, answer);
            Thread.sleep(READ_ON_MILLIS);
            final int length = Integer.parseInt(request.header("content-length"));
            int read = 0;
            String end = "";
            try {
                final byte[] buffer = new byte[64 * 1024];
                while (read < length && end.isEmpty()) {
                    final int count = in.read(buffer, 0, Math.min(buffer.length, length - read));
                    if (count < 0) {
                        end = "the channel was closed";
                    } else {
                        read += count;
                    }
                }
            } catch (IOException e) {
                end = e.toString();
            }
            bodies.put(id, read == length ? "whole" : "cut after " + read + " of " + length + " bytes: " + end);
            return read == length;
        }
        request.readBody(in, false);
        bodies.put(id, "whole");
        Request.write(out, answer);
        return true;
    }
}
