import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Streams that may not be resumed, on a route with Sizes, while many users come at once: after a draft was run and dropped, the
 * larger model's workers are full.
 */
final class DroppedDraft {
    private static final double USUAL_PER_SECOND = 18;
    /** Largest dose of a burst of one class in the site file: x 2.4 for 6.6 s. */
    private static final double BURST = 2.4;

    private static final double BURST_SECONDS = 6.6;
    private static final int BURSTS = 3;
    private static final double CALM_SECONDS = 8;
    private static final int TIMEOUT_MILLIS = 8_000;
    private static final int EVENTS = 13;

    private DroppedDraft() {}

    public static void main(String[] arguments) {
        int exit = 2;
        try {
            exit = run(Path.of(arguments[0]));
        } catch (Exception e) {
            e.printStackTrace();
        }
        // 1 is also the exit code of a virtual machine that cannot run the class.
        System.exit(exit == 1 ? 3 : exit);
    }

    /** Returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    private static int run(Path recordFile) throws Exception {
        final Map<String, ConcurrentLinkedQueue<String>> runs = new ConcurrentHashMap<>();
        int broken = 0;
        int answered = 0;
        int refused = 0;
        int sent = 0;
        try (Lab lab = new Lab(recordFile)) {
            lab.note("trouble: %s", Lab.trouble());
            lab.configure(1, Lab.route("digest", "streaming", "fleet", TIMEOUT_MILLIS, 4_000, 3,
                    ",\"Sticky\":true,\"GapTargetMs\":1200,\"Sizes\":[\"m0\",\"m1\",\"m2\"]"));
            final List<Worker> workers = new ArrayList<>();
            for (int index = 0; index < 3; index++) {
                final Pool pool = new Pool(8, 4);
                workers.add(new Worker("engine-" + index, call -> answer(lab, call, pool, runs)));
                lab.register(workers.get(index), "fleet", "v1", "ready", 1_000, 1);
            }
            try (Gateway gateway = new Gateway("front-1", lab.store.port(), lab.directory)) {
                gateway.awaitReady();
                final ExecutorService clients = Executors.newCachedThreadPool();
                final Map<String, Future<Lab.Answer>> answers = new java.util.LinkedHashMap<>();
                final Random random = new Random(1);
                final long start = System.nanoTime();
                final double end = CALM_SECONDS + BURSTS * (BURST_SECONDS + CALM_SECONDS);
                double due = 0;
                for (int number = 0; due < end; number++) {
                    final boolean burst =
                            Lab.trouble() && due >= CALM_SECONDS && due % (BURST_SECONDS + CALM_SECONDS) >= CALM_SECONDS;
                    due += -Math.log(1 - random.nextDouble()) / (burst ? BURST * USUAL_PER_SECOND : USUAL_PER_SECOND);
                    final long waitNanos = start + (long) (due * 1e9) - System.nanoTime();
                    if (waitNanos > 0) {
                        Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
                    }
                    final String id = String.format("%08x%04x", random.nextInt(), number);
                    lab.note("client sends %s", id);
                    answers.put(id, clients.submit(() -> lab.call(gateway.port, "POST", "/digest/2f",
                            Lab.headers("Request-Id", id, "Deadline-Ms", "" + TIMEOUT_MILLIS, "Model", "*", "Token-Counts", "2890,13",
                                    "Prompt-Prefix", "aa:1000," + id + ":1890"),
                            new byte[2_000], TIMEOUT_MILLIS + 2_000)));
                }
                for (final Map.Entry<String, Future<Lab.Answer>> entry : answers.entrySet()) {
                    final Lab.Answer answer = entry.getValue().get();
                    final List<String> begun = List.copyOf(runs.getOrDefault(entry.getKey(), new ConcurrentLinkedQueue<>()));
                    sent++;
                    answered += answer.status() == 200 ? 1 : 0;
                    final boolean promise = answer.status() == 503 || answer.status() == 429;
                    refused += promise ? 1 : 0;
                    lab.note("client got %s: %d %s after %.0f ms; begun: %s %s", entry.getKey(), answer.status(), answer.error(),
                            answer.millis(), begun, answer.status() >= 400 ? answer.body() : "");
                    if (promise && !begun.isEmpty()) {
                        broken++;
                        lab.note("REFUSED broken: %s was answered %d and had run: %s", entry.getKey(), answer.status(), begun);
                    }
                }
                clients.shutdownNow();
            }
            for (final Worker worker : workers) {
                worker.close();
            }
            lab.say("sent %d, answered 200 %d, refused %d, of these had run %d", sent, answered, refused, broken);
        }
        return broken > 0 ? 1 : answered > 0 ? 0 : 2;
    }

    private static boolean answer(Lab lab, Worker.Call call, Pool pool, Map<String, ConcurrentLinkedQueue<String>> runs)
            throws IOException, InterruptedException {
        final String model = call.head().header("model");
        final String names = "Request-Id: " + call.id() + "\r\n";
        if (!pool.enter(Long.parseLong(call.head().header("deadline-ms")))) {
            lab.note("%s rejects %s (%s): full", call.worker().id, call.id(), model);
            call.write("HTTP/1.1 503 Service Unavailable\r\n" + names + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        try {
            final boolean draft = model.equals("m0");
            Thread.sleep(draft ? 60 : 200);
            runs.computeIfAbsent(call.id(), id -> new ConcurrentLinkedQueue<>()).add(call.worker().id + "/" + model);
            lab.note("%s runs %s (%s)", call.worker().id, call.id(), model);
            // Three in five requests are too hard for the smallest model.
            final boolean doubtful = draft && Math.floorMod(call.id().hashCode(), 5) < 3;
            call.write("HTTP/1.1 200 OK\r\n" + names + "Response-Stamp: stamp." + call.id() + "\r\nConfidence: " + (doubtful ? 20 : 90)
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = 1; event <= EVENTS; event++) {
                final String text = "id: " + event + "\ndata: piece " + event + "\n\n";
                call.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                Thread.sleep(draft ? 15 : 80);
            }
            call.write("0\r\n\r\n");
            return true;
        } finally {
            pool.leave();
        }
    }
}
