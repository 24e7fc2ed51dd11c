package org.masticpaddle.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.standin.Fault;
import org.masticpaddle.standin.FaultProxy.Direction;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.masticpaddle.bench.ProcessDeployment.await;
import static org.masticpaddle.bench.ProcessDeployment.join;

/** Faults that meet a booking, which must run at most once. */
final class ClaimCells {
    private static final long DEADLINE_MILLIS = 20_000;
    private static final long SHORT_DEADLINE_MILLIS = 1_500;
    /** Longer than any cell, so that the answer of the upstream never arrives. */
    private static final long STALL_MILLIS = 600_000;

    private ClaimCells() {}

    static List<FaultCell> cells() {
        return List.of(
                new FaultCell("kill sidecar", "complete", "a booking that may have run is not repeated", d -> {
                    killSidecar(d);
                }),
                new FaultCell("kill entry", "complete", "another entry settles the booking", ClaimCells::killEntry),
                new FaultCell("pause sidecar", "complete", "the booking runs once", ClaimCells::pauseSidecar),
                new FaultCell(
                        "pause entry", "claim", "a late dispatch of a sealed attempt is refused", ClaimCells::lateDispatch),
                new FaultCell("restart entry", "claim", "the claim is read again", ClaimCells::restartEntry),
                new FaultCell("lost answer", "complete", "the answer is unknown, and stays so", ClaimCells::lostAnswer),
                new FaultCell(
                        "silent connection", "complete", "the attempt goes on at a new connection", d -> stallConnection(d)),
                new FaultCell("lost request", "dispatch", "not run is true", ClaimCells::lostRequest),
                new FaultCell("log out", "claim", "nothing runs without a claim", ClaimCells::logOutage),
                new FaultCell("log slow", "claim", "the booking runs once", d -> injectLogFault(d, Fault.SLOW, 700, 6)),
                new FaultCell("ack lost", "claim", "the booking runs once", d -> injectLogFault(d, Fault.ANSWER_LOST, 0, 2)),
                new FaultCell("ack lost, applied twice", "claim", "the booking runs once", d -> {
                    injectLogFault(d, Fault.APPLIED_TWICE, 0, 3);
                }),
                new FaultCell("lost answer of a log read", "claim", "the booking runs once", ClaimCells::lostLogReadResponse),
                new FaultCell("duplicated request", "claim", "one of two entries runs the booking", ClaimCells::duplicateRequest),
                new FaultCell("client gone", "complete", "a retry gets the recorded answer", ClaimCells::disconnectClient));
    }

    private static void slowPlainServices(ProcessDeployment deployment, long millis) {
        deployment
                .platform()
                .plainServices()
                .forEach(service -> service.faults().enable(Fault.SLOW, millis));
    }

    private static void clearPlainServiceFaults(ProcessDeployment deployment) {
        deployment
                .platform()
                .plainServices()
                .forEach(service -> service.faults().disableAll());
    }

    /** Repeats a booking until it is answered, and checks that it ran once and the answer is that of the run. */
    private static void awaitSingleRun(ProcessDeployment deployment, int entry, String key) {
        await(() -> {
            final LoadResult retry = join(deployment.sendBooking(entry, key, DEADLINE_MILLIS));
            assertThat(deployment.runCount(key)).isAtMost(1);
            return retry.answered();
        });
        assertThat(deployment.runCount(key)).isEqualTo(1);
    }

    private static void killSidecar(ProcessDeployment deployment) {
        slowPlainServices(deployment, STALL_MILLIS);
        final String key = deployment.newKey();
        final CompletableFuture<LoadResult> first = deployment.sendBooking(0, key, DEADLINE_MILLIS);
        await(() -> deployment.runCount(key) == 1);
        final DaemonProcess sidecar = deployment.plainSidecar(deployment.bookingUpstream(key));
        sidecar.kill();
        assertThat(ProcessDeployment.runState(join(first))).isEqualTo("unknown");
        clearPlainServiceFaults(deployment);
        assertThat(ProcessDeployment.runState(join(deployment.sendBooking(1, key, DEADLINE_MILLIS))))
                .isEqualTo("unknown");
        sidecar.restart();
        deployment.awaitReady();
        assertThat(ProcessDeployment.runState(join(deployment.sendBooking(0, key, DEADLINE_MILLIS))))
                .isEqualTo("unknown");
        assertThat(deployment.runCount(key)).isEqualTo(1);
    }

    private static void killEntry(ProcessDeployment deployment) {
        slowPlainServices(deployment, 1_000);
        final String key = deployment.newKey();
        final CompletableFuture<LoadResult> first = deployment.sendBooking(0, key, DEADLINE_MILLIS);
        await(() -> deployment.runCount(key) == 1);
        deployment.entry(0).kill();
        assertThat(join(first).status()).isEqualTo(0);
        awaitSingleRun(deployment, 1, key);
        clearPlainServiceFaults(deployment);
        deployment.entry(0).restart();
        deployment.awaitReady();
        awaitSingleRun(deployment, 0, key);
    }

    private static void pauseSidecar(ProcessDeployment deployment) {
        slowPlainServices(deployment, 1_000);
        final String key = deployment.newKey();
        final CompletableFuture<LoadResult> first = deployment.sendBooking(0, key, DEADLINE_MILLIS);
        await(() -> deployment.runCount(key) == 1);
        final DaemonProcess sidecar = deployment.plainSidecar(deployment.bookingUpstream(key));
        sidecar.pause();
        clearPlainServiceFaults(deployment);
        final LoadResult retry = join(deployment.sendBooking(1, key, 4_000));
        assertThat(ProcessDeployment.runState(retry)).isEqualTo("unknown");
        assertThat(deployment.runCount(key)).isEqualTo(1);
        sidecar.resume();
        join(first);
        awaitSingleRun(deployment, 1, key);
    }

    /** Pauses an entry after its claim is on the log and before it has read it back. */
    private static void lateDispatch(ProcessDeployment deployment) {
        deployment.logProxy().delay(Direction.TO_CLIENT, 2_000);
        final int before = claimRecords(deployment);
        final String key = deployment.newKey();
        final CompletableFuture<LoadResult> first = deployment.sendBooking(0, key, DEADLINE_MILLIS);
        await(() -> claimRecords(deployment) > before);
        deployment.entry(0).pause();
        deployment.logProxy().clearFaults();
        awaitSingleRun(deployment, 1, key);
        deployment.entry(0).resume();
        join(first);
        deployment.awaitReady();
        assertThat(deployment.runCount(key)).isEqualTo(1);
    }

    private static int claimRecords(ProcessDeployment deployment) {
        int records = 0;
        for (int partition = 0; partition < 4; partition++) {
            records +=
                    deployment.platform().log().journal("claims-" + partition).size();
        }
        return records;
    }

    private static void restartEntry(ProcessDeployment deployment) {
        final String key = deployment.newKey();
        awaitSingleRun(deployment, 0, key);
        deployment.entry(0).kill();
        deployment.entry(0).restart();
        deployment.awaitReady();
        awaitSingleRun(deployment, 0, key);
    }

    private static void lostAnswer(ProcessDeployment deployment) {
        deployment
                .platform()
                .plainServices()
                .forEach(service -> service.faults().enable(Fault.ANSWER_LOST, 0));
        final String key = deployment.newKey();
        assertThat(ProcessDeployment.runState(join(deployment.sendBooking(0, key, DEADLINE_MILLIS))))
                .isEqualTo("unknown");
        clearPlainServiceFaults(deployment);
        assertThat(ProcessDeployment.runState(join(deployment.sendBooking(0, key, DEADLINE_MILLIS))))
                .isEqualTo("unknown");
        assertThat(ProcessDeployment.runState(join(deployment.sendBooking(1, key, DEADLINE_MILLIS))))
                .isEqualTo("unknown");
        assertThat(deployment.runCount(key)).isEqualTo(1);
    }

    private static void stallConnection(ProcessDeployment deployment) {
        slowPlainServices(deployment, 1_000);
        final String key = deployment.newKey();
        final CompletableFuture<LoadResult> first = deployment.sendBooking(0, key, DEADLINE_MILLIS);
        await(() -> deployment.runCount(key) == 1);
        deployment.plainSidecar(deployment.bookingUpstream(key)).proxy().stallOpenConnections(Direction.TO_CLIENT);
        assertThat(join(first).answered()).isTrue();
        assertThat(deployment.runCount(key)).isEqualTo(1);
        clearPlainServiceFaults(deployment);
    }

    private static void lostRequest(ProcessDeployment deployment) {
        for (int index = 0; index < 2; index++) {
            deployment.plainSidecar(index).proxy().refuseConnections(true);
            deployment.plainSidecar(index).proxy().resetConnections();
        }
        final String key = deployment.newKey();
        final LoadResult refused = join(deployment.sendBooking(0, key, DEADLINE_MILLIS));
        assertWithMessage(new String(refused.body()))
                .that(ProcessDeployment.runState(refused))
                .isEqualTo("not_run");
        assertThat(deployment.runCount(key)).isEqualTo(0);
        for (int index = 0; index < 2; index++) {
            deployment.plainSidecar(index).proxy().clearFaults();
        }
        awaitSingleRun(deployment, 1, key);
    }

    private static void logOutage(ProcessDeployment deployment) {
        deployment.platform().log().faults().enable(Fault.OUTAGE, 0);
        deployment.logProxy().resetConnections();
        final String key = deployment.newKey();
        final LoadResult refused = join(deployment.sendBooking(0, key, SHORT_DEADLINE_MILLIS));
        assertThat(refused.answered()).isFalse();
        assertThat(ProcessDeployment.runState(refused)).isEqualTo("unknown");
        assertThat(deployment.runCount(key)).isEqualTo(0);
        deployment.platform().log().faults().disableAll();
        awaitSingleRun(deployment, 1, key);
    }

    private static void injectLogFault(ProcessDeployment deployment, Fault fault, long value, long count) {
        deployment.platform().log().faults().enableTimes(fault, value, count);
        final String key = deployment.newKey();
        join(deployment.sendBooking(0, key, DEADLINE_MILLIS));
        deployment.platform().log().faults().disableAll();
        awaitSingleRun(deployment, 1, key);
    }

    private static void lostLogReadResponse(ProcessDeployment deployment) {
        final int before = claimRecords(deployment);
        deployment.logProxy().delay(Direction.TO_CLIENT, 500);
        final String key = deployment.newKey();
        final CompletableFuture<LoadResult> first = deployment.sendBooking(0, key, DEADLINE_MILLIS);
        await(() -> claimRecords(deployment) > before);
        deployment.logProxy().resetConnections();
        deployment.logProxy().clearFaults();
        join(first);
        awaitSingleRun(deployment, 1, key);
    }

    private static void duplicateRequest(ProcessDeployment deployment) {
        for (int round = 0; round < 20; round++) {
            final String key = deployment.newKey();
            final CompletableFuture<LoadResult> first = deployment.sendBooking(0, key, DEADLINE_MILLIS);
            final CompletableFuture<LoadResult> second = deployment.sendBooking(1, key, DEADLINE_MILLIS);
            assertThat(join(first).answered() || join(second).answered()).isTrue();
            assertThat(deployment.runCount(key)).isEqualTo(1);
        }
    }

    private static void disconnectClient(ProcessDeployment deployment) {
        slowPlainServices(deployment, 1_000);
        final String key = deployment.newKey();
        final LoadRequest request = deployment.booking(key, DEADLINE_MILLIS);
        final Socket caller = open(deployment, 0, request);
        await(() -> deployment.runCount(key) == 1);
        close(caller);
        awaitSingleRun(deployment, 1, key);
        clearPlainServiceFaults(deployment);
    }

    /** Sends a request from a socket, which the caller may close before its answer. */
    static Socket open(ProcessDeployment deployment, int entry, LoadRequest request) {
        try {
            final Socket caller = new Socket(
                    "127.0.0.1", deployment.entry(entry).proxy().origin().getPort());
            final StringBuilder head = new StringBuilder();
            head.append(request.method()).append(' ').append(request.path()).append(" HTTP/1.1\r\nHost: entry\r\n");
            request.headers()
                    .forEach((name, value) ->
                            head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(request.body().length).append("\r\n\r\n");
            caller.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
            caller.getOutputStream().write(request.body());
            return caller;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static void close(Socket caller) {
        try {
            caller.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
