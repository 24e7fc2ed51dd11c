package lab2;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticpaddle.adapter.standin.StoreStandIn;

/**
 * Case: a burst of requests with prompts of many parts, each within MaxHeaderBytes. The gateway reserves memory for bodies and answers,
 * but not for heads and what it reads from them; its heap is full while the requests of the burst are in flight, and it hangs.
 *
 * <p>Rule CONFIG: of the requests that are still unanswered at the TimeoutMs of their route, more than half have no answer half a
 * second later. Counted are all requests, which are sent while the platform has the gateway in rotation.
 */
public final class BurstOfPrompts {
    private static final int REQUESTS_PER_SECOND = 50;
    private static final double BURST = 2.4;
    private static final long BURST_MILLIS = 6_600;
    private static final long BURST_EVERY_MILLIS = 16_000;
    private static final long FIRST_BURST_MILLIS = 8_000;
    private static final long LAST_SEND_MILLIS = 48_000;
    private static final long TIMEOUT_MILLIS = 8_000;
    private static final long LATE_MILLIS = 500;
    private static final int EVENTS = 70;
    private static final long EVENT_MILLIS = 50;
    private static final int PROMPT_PARTS = 2_550;

    private final Path directory = Files.createTempDirectory("review-2");
    private final Map<String, Long> open = new ConcurrentHashMap<>();
    private final Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger unansweredInTime = new AtomicInteger();
    private final AtomicInteger unansweredLate = new AtomicInteger();
    private final Semaphore clients = new Semaphore(1_500);
    private volatile boolean inRotation = true;

    private BurstOfPrompts() throws IOException {}

    public static void main(String[] arguments) throws Exception {
        Lab.open(Path.of(arguments[0]));
        int result = 2;
        try {
            result = new BurstOfPrompts().run();
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
                Lab.route(
                        "quote",
                        "streaming",
                        "fleet",
                        3,
                        TIMEOUT_MILLIS,
                        ",\"Sticky\":true,\"GapTargetMs\":1200,\"Sizes\":[\"m0\",\"m1\",\"m2\"]"),
                "{\"Name\":\"fleet\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":"
                        + "{\"Slots\":64,\"KvCapacityTokens\":630261,\"Stride\":4,\"Models\":[{\"Name\":\"m0\",\"Cost\":0.018},"
                        + "{\"Name\":\"m1\",\"Cost\":0.14},{\"Name\":\"m2\",\"Cost\":0.27}]}}");
        for (int index = 0; index < 3; index++) {
            Lab.register(store, new Worker("w-" + index, this::serve), "fleet", "v1", "ready", 1);
        }
        try (Gateway gateway = new Gateway(directory, "front-1", "z", store.port())) {
            gateway.start();
            if (!gateway.awaitReady(15_000)) {
                Lab.note("the gateway does not start");
                return 2;
            }
            Lab.note("ready, %d descriptors", gateway.descriptors());
            final long start = Lab.millis();
            Lab.daemon(() -> watchRotation(gateway));
            Lab.daemon(() -> report(gateway));
            long due = start;
            for (int number = 0; due - start < LAST_SEND_MILLIS; number++) {
                final long passed = due - start;
                final boolean burst = Lab.TROUBLE && passed >= FIRST_BURST_MILLIS
                        && (passed - FIRST_BURST_MILLIS) % BURST_EVERY_MILLIS < BURST_MILLIS;
                due += (long) (1_000 / (burst ? BURST * REQUESTS_PER_SECOND : REQUESTS_PER_SECOND));
                Lab.sleepUntil(due);
                final String id = "r" + number;
                if (inRotation && clients.tryAcquire()) {
                    open.put(id, Lab.millis());
                    Lab.daemon(() -> stay(gateway.front(), id));
                }
            }
            Lab.note("no more requests are sent; the gateway is %s", inRotation ? "in rotation" : "out of rotation");
            Thread.sleep(TIMEOUT_MILLIS + LATE_MILLIS + 3_000);
            Lab.note("lines with OutOfMemoryError in the gateway's log: %d", gateway.logLines("OutOfMemoryError"));
            Lab.note("process alive %s, ready %s, %d descriptors", gateway.alive(), gateway.ready(), gateway.descriptors());
            Lab.note(
                    "runs %d, statuses %s; unanswered at TimeoutMs %d, of these without an answer half a second later %d",
                    runs.get(), statuses, unansweredInTime.get(), unansweredLate.get());
            final boolean broken = unansweredLate.get() >= 8 && unansweredLate.get() * 2 > unansweredInTime.get();
            Lab.note(broken ? "CONFIG is broken" : "CONFIG held");
            return broken ? 1 : 0;
        }
    }

    /** Streams a short answer. */
    private boolean serve(Request request, java.io.InputStream in, java.io.OutputStream out, java.net.Socket socket)
            throws Exception {
        request.readBody(in, false);
        runs.incrementAndGet();
        Request.write(out, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id")
                + "\r\nResponse-Stamp: stamp\r\nConfidence: 100\r\nInstance-Load: 1,0,64\r\nContent-Type: text/event-stream"
                + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            Thread.sleep(EVENT_MILLIS);
            final String text = "id: " + event + "\ndata: piece\n\n";
            Request.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        Request.write(out, "0\r\n\r\n");
        return true;
    }

    private static String request(String id) {
        final StringBuilder prefix = new StringBuilder();
        for (int part = 0; part < PROMPT_PARTS - 1; part++) {
            prefix.append(Integer.toHexString(0x100 + part)).append(":4,");
        }
        return "POST /quote/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: " + id + "\r\nModel: *\r\nToken-Counts: 10200,280"
                + "\r\nPrompt-Prefix: " + prefix + Integer.toHexString(id.hashCode()) + ":4\r\nDeadline-Ms: " + TIMEOUT_MILLIS
                + "\r\nAuthorization: Bearer key-1\r\nContent-Length: 4700\r\n\r\n" + "x".repeat(4_700);
    }

    private void stay(int port, String id) {
        final long sent = Lab.millis();
        Client.Answer answer;
        try (Client client = new Client(port, (int) (TIMEOUT_MILLIS + LATE_MILLIS))) {
            client.sendRaw(request(id));
            answer = client.receive();
        } catch (IOException e) {
            answer = new Client.Answer(0, "", "", e.toString());
        }
        final long took = Lab.millis() - sent;
        open.remove(id);
        clients.release();
        statuses.computeIfAbsent(answer.status(), status -> new AtomicInteger()).incrementAndGet();
        if (took >= TIMEOUT_MILLIS) {
            unansweredInTime.incrementAndGet();
        }
        if (took >= TIMEOUT_MILLIS + LATE_MILLIS) {
            unansweredLate.incrementAndGet();
        }
        if (answer.status() != 200 && unansweredLate.get() < 30) {
            Lab.note("%s: status %d after %d ms %s", id, answer.status(), took, answer.problem());
        }
    }

    /** Asks once a second, as the platform does; two misses in a row take the gateway out until it answers again. */
    private void watchRotation(Gateway gateway) {
        int misses = 0;
        while (true) {
            final long asked = Lab.millis();
            misses = gateway.ready() ? 0 : misses + 1;
            if (inRotation != misses < 2) {
                inRotation = misses < 2;
                Lab.note(inRotation ? "in rotation again" : "out of rotation");
            }
            try {
                Lab.sleepUntil(asked + 1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void report(Gateway gateway) {
        while (true) {
            try {
                Thread.sleep(5_000);
                Lab.note("statuses %s, waiting %d, descriptors %d", statuses, open.size(), gateway.descriptors());
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
