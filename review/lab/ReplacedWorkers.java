import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Releases: workers are replaced one after the other. Each entry is removed while the worker still serves its requests. The gateway
 * keeps these requests and their bodies for ever, and in the end leaves others without any answer.
 */
final class ReplacedWorkers {
    private static final double PER_SECOND = 60;
    private static final int WORKERS = 3;
    /** One of three workers; the releases in the site file replace a share of 0.45 at most. */
    private static final int REPLACED_PER_RELEASE = 1;

    private static final int RELEASES = 28;
    private static final double FIRST_RELEASE_SECONDS = 5;
    private static final double RELEASE_INTERVAL_SECONDS = 1.5;
    private static final double END_SECONDS = FIRST_RELEASE_SECONDS + RELEASES * RELEASE_INTERVAL_SECONDS + 15;
    /** The drain time of the site and a little longer. */
    private static final int SERVES_ON_MILLIS = 2_600;

    private static final int TIMEOUT_MILLIS = 8_000;
    private static final byte[] BODY = new byte[100_000];
    /** Clients send at 64 KiB a millisecond, half of a link of 1,000 Mbit/s. */
    private static final int PIECE_BYTES = 64 * 1024;

    private final Lab lab;
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger changed = new AtomicInteger();
    private final List<Worker> workers = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private int registered;

    private ReplacedWorkers(Lab lab) {
        this.lab = lab;
    }

    public static void main(String[] arguments) {
        int exit = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]))) {
            exit = new ReplacedWorkers(lab).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        // 1 is also the exit code of a virtual machine that cannot run the class.
        System.exit(exit == 1 ? 3 : exit);
    }

    /** Returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    private int run() throws Exception {
        lab.note("trouble: %s", Lab.trouble());
        lab.configure(1, Lab.route("digest", "streaming", "fleet", TIMEOUT_MILLIS, 4_000, 3,
                ",\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":1200,\"Sizes\":[\"m0\",\"m1\",\"m2\"]"));
        for (int index = 0; index < WORKERS; index++) {
            workers.add(start());
        }
        int answered = 0;
        int unansweredAtTimeout = 0;
        int unansweredLater = 0;
        try (Gateway gateway = new Gateway("front-1", lab.store.port(), lab.directory)) {
            gateway.awaitReady();
            lab.warmUp(gateway.port, "/digest/2f");
            final long start = System.nanoTime();
            if (Lab.trouble()) {
                threads.submit(() -> release(start));
            }
            final List<Future<String>> outcomes = new ArrayList<>();
            for (int number = 0; number < END_SECONDS * PER_SECOND; number++) {
                sleepUntil(start, number / PER_SECOND);
                final String id = String.format("5c1e07a2%08x", number);
                outcomes.add(threads.submit(() -> call(gateway.port, id)));
            }
            final Map<String, Integer> counts = new TreeMap<>();
            for (final Future<String> outcome : outcomes) {
                final String result = outcome.get();
                counts.merge(result, 1, Integer::sum);
                answered += result.equals("200") ? 1 : 0;
                unansweredAtTimeout += result.startsWith("at the timeout") ? 1 : 0;
                unansweredLater += result.endsWith("none later") ? 1 : 0;
            }
            lab.say("outcomes %s; runs at workers %d; gateway alive %s, ready %d", counts, runs.get(), gateway.alive(), gateway.ready());
            lab.note("out of memory lines in the gateway's log: %d",
                    Files.readString(gateway.log).lines().filter(line -> line.contains("OutOfMemoryError")).count());
        }
        threads.shutdownNow();
        for (final Worker worker : workers) {
            worker.close();
        }
        lab.say("unanswered at TimeoutMs %d, of these unanswered half a second later %d", unansweredAtTimeout, unansweredLater);
        lab.say("run with a changed body %d", changed.get());
        return changed.get() > 0 || 2 * unansweredLater > unansweredAtTimeout ? 1 : answered > 0 ? 0 : 2;
    }

    private Worker start() throws IOException {
        final Worker worker = new Worker("engine-" + registered++, this::answer, false);
        lab.register(worker, "fleet", "v1", "ready", 1_000 + registered, 1);
        lab.note("%s is ready", worker.id);
        return worker;
    }

    private Void release(long start) throws IOException, InterruptedException {
        for (int release = 0; release < RELEASES; release++) {
            for (int replaced = 0; replaced < REPLACED_PER_RELEASE; replaced++) {
                sleepUntil(start, FIRST_RELEASE_SECONDS + release * RELEASE_INTERVAL_SECONDS + replaced);
                workers.add(start());
                final Worker old = workers.remove(0);
                lab.store.put("keyed.servers", old.id, "");
                lab.note("the entry of %s is removed; it serves on for %d ms", old.id, SERVES_ON_MILLIS);
                threads.submit(() -> {
                    Thread.sleep(SERVES_ON_MILLIS);
                    old.close();
                    lab.note("%s has ended", old.id);
                    return null;
                });
            }
        }
        return null;
    }

    private static void sleepUntil(long start, double seconds) throws InterruptedException {
        final long waitNanos = start + (long) (seconds * 1e9) - System.nanoTime();
        if (waitNanos > 0) {
            Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
        }
    }

    /** Sends one request and waits for its answer until half a second after the timeout of its route, counted from its last byte. */
    private String call(int port, String id) throws InterruptedException {
        final CountDownLatch answered = new CountDownLatch(1);
        final String[] result = {"closed"};
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            final Thread reader = new Thread(() -> {
                try {
                    final InputStream in = new BufferedInputStream(socket.getInputStream());
                    final Message head = Message.read(in);
                    if (head != null) {
                        head.body(in, true);
                        result[0] = Integer.toString(head.status());
                    }
                } catch (IOException | RuntimeException e) {
                    result[0] = "broken off";
                } finally {
                    answered.countDown();
                }
            });
            reader.start();
            final CountDownLatch sent = new CountDownLatch(1);
            final Thread writer = new Thread(() -> send(socket, id, sent));
            writer.start();
            final long begun = System.nanoTime();
            final boolean whole = sent.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            boolean done = answered.await(whole ? TIMEOUT_MILLIS : 0, TimeUnit.MILLISECONDS);
            lab.note("client %s: %s after %.0f ms, whole request sent: %s", id, done ? result[0] : "no answer yet", Lab.millis(begun), whole);
            if (done) {
                return result[0];
            }
            if (!whole) {
                return "not taken";
            }
            done = answered.await(500, TimeUnit.MILLISECONDS);
            lab.note("client %s: %s half a second later", id, done ? result[0] : "still no answer");
            return "at the timeout none, " + (done ? "later " + result[0] : "none later");
        } catch (IOException e) {
            return "not connected";
        }
    }

    private static void send(Socket socket, String id, CountDownLatch sent) {
        try {
            socket.getOutputStream().write(Lab.head("POST", "/digest/2f", Lab.headers("Request-Id", id, "Deadline-Ms", "20000", "Model", "*",
                    "Token-Counts", "2890,13", "Prompt-Prefix", "aa:1000," + id + ":1890"), BODY.length));
            for (int from = 0; from < BODY.length; from += PIECE_BYTES) {
                socket.getOutputStream().write(BODY, from, Math.min(PIECE_BYTES, BODY.length - from));
                Thread.sleep(1);
            }
            sent.countDown();
        } catch (IOException | InterruptedException e) {
            // The gateway has answered early, or the client has left.
            sent.countDown();
        }
    }

    private boolean answer(Worker.Call call) throws IOException, InterruptedException {
        final boolean warmUp = call.id().startsWith("aaaa");
        final long length = Long.parseLong(call.head().header("content-length"));
        call.in().skipNBytes(length);
        runs.incrementAndGet();
        lab.note("%s runs %s with a body of %d bytes", call.worker().id, call.id(), length);
        if (!warmUp && length != BODY.length) {
            changed.incrementAndGet();
            lab.note("UNASKED broken: the client of %s sent a body of %d bytes", call.id(), BODY.length);
        }
        Thread.sleep(warmUp ? 20 : 500);
        call.write("HTTP/1.1 200 OK\r\nRequest-Id: " + call.id() + "\r\nResponse-Stamp: stamp." + call.id()
                + "\r\nConfidence: 90\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= 13; event++) {
            Thread.sleep(warmUp ? 1 : 115);
            final String text = "id: " + event + "\ndata: piece " + event + "\n\n";
            call.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        call.write("0\r\n\r\n");
        return true;
    }
}
