package lab2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticpaddle.adapter.standin.StoreStandIn;

/**
 * Case: workers answer bookings with long bodies before they have read them, keep the channel and read on 700 ms later. The gateway
 * sends the next lookup on that channel; it waits behind the rest of the body, and reaches the worker with a time limit that was
 * written down before the wait.
 *
 * <p>Rule BUDGET: more than 20 requests, and more than a fifth, are passed on with a Deadline-Ms that is over 0.5 s longer than the
 * client's.
 */
public final class EarlyAnswers {
    private static final int BODY_BYTES = 4_000_000;
    private static final long READ_ON_MILLIS = 700;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final long TOLERANCE_MILLIS = 500;
    private static final int BOOKINGS = 150;
    private static final long BOOKING_EVERY_MILLIS = 200;
    private static final int LOOKUPS_PER_BOOKING = 2;

    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger passedOn = new AtomicInteger();
    private final AtomicInteger tooLong = new AtomicInteger();
    private final AtomicInteger readOn = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Lab.open(Path.of(arguments[0]));
        int result = 2;
        try {
            result = new EarlyAnswers().run();
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
                store,
                1,
                Lab.route("look", "idempotent", "plain", 2, DEADLINE_MILLIS, "") + ","
                        + Lab.route("book", "non_idempotent", "plain", 1, DEADLINE_MILLIS, ""),
                Lab.service("plain"));
        for (int index = 0; index < 3; index++) {
            Lab.register(store, new Worker("w-" + index, this::serve), "plain", "v1", "ready", 1);
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
                call(gateway, "POST", "/book/1", "b" + number, body);
                for (int lookup = 0; lookup < LOOKUPS_PER_BOOKING; lookup++) {
                    Lab.sleepUntil(start + number * BOOKING_EVERY_MILLIS + 100 + lookup * 40);
                    call(gateway, "GET", "/look/1", "l" + number + "-" + lookup, new byte[0]);
                }
            }
            Thread.sleep(DEADLINE_MILLIS + 2_000);
        }
        Lab.note("answers %s; bodies read to the end after the answer %d", statuses, readOn.get());
        Lab.note("passed on %d, with a Deadline-Ms over 0.5 s longer than the client's %d", passedOn.get(), tooLong.get());
        final boolean broken = tooLong.get() > 20 && tooLong.get() * 5 > passedOn.get();
        Lab.note(broken ? "BUDGET is broken" : "BUDGET held");
        return broken ? 1 : 0;
    }

    private void call(Gateway gateway, String method, String path, String id, byte[] body) {
        Lab.daemon(() -> {
            sentMillis.put(id, Lab.millis());
            final Client.Answer answer =
                    Client.call(gateway.front(), method, path, id, "key-1", DEADLINE_MILLIS, body);
            statuses.computeIfAbsent(method + " " + answer.status(), key -> new AtomicInteger()).incrementAndGet();
        });
    }

    private boolean serve(Request request, java.io.InputStream in, java.io.OutputStream out, java.net.Socket socket)
            throws IOException, InterruptedException {
        final String id = request.header("request-id");
        final long left = sentMillis.get(id) + DEADLINE_MILLIS - Lab.millis();
        final long handed = Long.parseLong(request.header("deadline-ms"));
        passedOn.incrementAndGet();
        if (handed > left + TOLERANCE_MILLIS) {
            tooLong.incrementAndGet();
            Lab.note("%s is handed %d ms when %d ms are left", id, handed, left);
        }
        if (Lab.TROUBLE && request.method().equals("POST")) {
            Request.write(out, Worker.head(request, 200, 2) + "ok");
            Thread.sleep(READ_ON_MILLIS);
            request.readBody(in, false);
            readOn.incrementAndGet();
        } else {
            request.readBody(in, false);
            Thread.sleep(20);
            Request.write(out, Worker.head(request, 200, 2) + "ok");
        }
        return true;
    }
}
