import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/** Large requests, within MaxBodyBytes, while many users come at once: the gateway leaves requests without any answer. */
final class LargeBurst {
    private static final double USUAL_PER_SECOND = 5;
    /** Largest dose of a burst of one class in the site file: x 2.4 for 6.6 s. */
    private static final double BURST = 2.4;

    private static final double BURST_SECONDS = 6.6;
    private static final double CALM_SECONDS = 8;
    private static final int TIMEOUT_MILLIS = 8_000;
    /** Below the MaxBodyBytes of the configuration, 4,194,304. */
    private static final byte[] BODY = new byte[4_000_000];

    private LargeBurst() {}

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
        int answered = 0;
        int unansweredAtTimeout = 0;
        int unansweredLater = 0;
        int otherFailures = 0;
        try (Lab lab = new Lab(recordFile)) {
            lab.note("trouble: %s", Lab.trouble());
            lab.configure(1, Lab.route("digest", "streaming", "fleet", TIMEOUT_MILLIS, 4_000, 3,
                    ",\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":1200,\"Sizes\":[\"m0\",\"m1\",\"m2\"]"));
            final AtomicInteger runs = new AtomicInteger();
            final List<Worker> workers = new ArrayList<>();
            for (int index = 0; index < 3; index++) {
                workers.add(new Worker("engine-" + index, call -> answer(lab, call, runs), false));
                lab.register(workers.get(index), "fleet", "v1", "ready", 1_000, 1);
            }
            try (Gateway gateway = new Gateway("front-1", lab.store.port(), lab.directory)) {
                gateway.awaitReady();
                lab.warmUp(gateway.port, "/digest/2f");
                final ExecutorService clients = Executors.newCachedThreadPool();
                final List<Future<String>> outcomes = new ArrayList<>();
                runs.set(0);
                final long start = System.nanoTime();
                double due = 0;
                for (int number = 0; due < 2 * CALM_SECONDS + BURST_SECONDS; number++) {
                    final long waitNanos = start + (long) (due * 1e9) - System.nanoTime();
                    if (waitNanos > 0) {
                        Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
                    }
                    final String id = String.format("5c1e07a2%08x", number);
                    outcomes.add(clients.submit(() -> call(lab, gateway.port, id)));
                    final boolean burst = Lab.trouble() && due >= CALM_SECONDS && due < CALM_SECONDS + BURST_SECONDS;
                    due += 1 / (burst ? BURST * USUAL_PER_SECOND : USUAL_PER_SECOND);
                }
                final Map<String, Integer> counts = new TreeMap<>();
                for (final Future<String> outcome : outcomes) {
                    final String result = outcome.get();
                    counts.merge(result, 1, Integer::sum);
                    answered += result.equals("200") ? 1 : 0;
                    unansweredAtTimeout += result.startsWith("at the timeout") ? 1 : 0;
                    unansweredLater += result.endsWith("none later") ? 1 : 0;
                }
                clients.shutdownNow();
                lab.say("outcomes %s; runs at workers %d; gateway alive %s", counts, runs.get(), gateway.alive());
                lab.note("out of memory lines in the gateway's log: %d", java.nio.file.Files.readString(gateway.log)
                        .lines().filter(line -> line.contains("OutOfMemoryError")).count());
            }
            for (final Worker worker : workers) {
                worker.close();
            }
            lab.say("unanswered at TimeoutMs %d, of these unanswered half a second later %d", unansweredAtTimeout, unansweredLater);
        }
        return 2 * unansweredLater > unansweredAtTimeout ? 1 : answered > 0 ? 0 : 2;
    }

    /** Sends one request; the time runs from its last byte, or from the moment at which the gateway takes no more of it. */
    private static String call(Lab lab, int port, String id) throws InterruptedException {
        final CountDownLatch answered = new CountDownLatch(1);
        final String[] result = {"closed"};
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            final long sent = System.nanoTime();
            final Thread reader = new Thread(() -> {
                try {
                    final var in = new java.io.BufferedInputStream(socket.getInputStream());
                    final Message head = Message.read(in);
                    if (head != null) {
                        final byte[] body = head.body(in, true);
                        result[0] = Integer.toString(head.status());
                        if (head.status() != 200) {
                            lab.note("client %s got %d: %s", id, head.status(), new String(body, java.nio.charset.StandardCharsets.UTF_8));
                        }
                    }
                } catch (IOException | RuntimeException e) {
                    result[0] = "broken off";
                } finally {
                    answered.countDown();
                }
            });
            final AtomicInteger written = new AtomicInteger();
            final Thread writer = new Thread(() -> {
                try {
                    send(socket, id);
                    written.set(1);
                } catch (IOException e) {
                    written.set(2);
                }
            });
            reader.start();
            writer.start();
            boolean done = answered.await(TIMEOUT_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS);
            lab.note("client %s: %s after %.0f ms, whole request sent: %s", id, done ? result[0] : "no answer yet", Lab.millis(sent), written.get() == 1);
            if (done) {
                return result[0];
            }
            done = answered.await(500, java.util.concurrent.TimeUnit.MILLISECONDS);
            lab.note("client %s: %s half a second later", id, done ? result[0] : "still no answer");
            return "at the timeout none, " + (done ? "later " + result[0] : written.get() == 1 ? "none later" : "(not wholly sent) none later");
        } catch (IOException e) {
            return "not connected";
        }
    }

    private static void send(Socket socket, String id) throws IOException {
        socket.getOutputStream().write(Lab.head("POST", "/digest/2f", Lab.headers("Request-Id", id, "Deadline-Ms", "20000", "Model", "*",
                "Token-Counts", "2890,13", "Prompt-Prefix", "aa:1000," + id + ":1890"), BODY.length));
        socket.getOutputStream().write(BODY);
    }

    private static boolean answer(Lab lab, Worker.Call call, AtomicInteger runs) throws IOException, InterruptedException {
        call.in().skipNBytes(Long.parseLong(call.head().header("content-length")));
        runs.incrementAndGet();
        lab.note("%s runs %s", call.worker().id, call.id());
        Thread.sleep(call.id().startsWith("aaaa") ? 20 : 1_000);
        call.write("HTTP/1.1 200 OK\r\nRequest-Id: " + call.id() + "\r\nResponse-Stamp: stamp." + call.id()
                + "\r\nConfidence: 90\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= 13; event++) {
            Thread.sleep(call.id().startsWith("aaaa") ? 1 : 75);
            final String text = "id: " + event + "\ndata: piece " + event + "\n\n";
            call.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        call.write("0\r\n\r\n");
        return true;
    }
}
