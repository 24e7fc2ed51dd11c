package org.masticpaddle.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.billing.ChargeTotals;
import org.masticpaddle.billing.ChargeWriter;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.standin.Fault;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.Json;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.masticpaddle.bench.ProcessDeployment.await;
import static org.masticpaddle.bench.ProcessDeployment.join;

/** Faults that meet charges and graceful shutdowns. */
final class BillingCells {
    private static final int SHORT_ANSWER_TOKENS = 20;
    private static final int LONG_ANSWER_TOKENS = 300;

    private BillingCells() {}

    static List<FaultCell> cells() {
        return List.of(
                new FaultCell(
                        "kill entry", "bill", "the sidecar bills what the entry had not", BillingCells::killEntry),
                new FaultCell("kill sidecar", "bill", "the entry bills", BillingCells::killSidecar),
                new FaultCell("log out", "bill", "charges wait for the log", BillingCells::logOutage),
                new FaultCell("ack lost", "bill", "repeated charges count once", BillingCells::lostAppendResponse),
                new FaultCell("restart entry", "drain", "no request of a leaving entry is cut", d -> {
                    drainUnderLoad(d, d.entry(0), 0);
                }),
                new FaultCell("restart sidecar", "drain", "no request of a leaving sidecar is cut", d -> {
                    drainUnderLoad(d, d.engineSidecar(2), 1);
                }),
                new FaultCell("restart plain sidecar", "drain", "no booking of a leaving sidecar is cut", d -> {
                    drainUnderLoad(d, d.plainSidecar(0), 1);
                }));
    }

    /** Charges that count, by identity. */
    static Map<String, Charge> billedCharges(ProcessDeployment deployment) {
        final ChargeTotals totals = new ChargeTotals();
        final Map<String, Charge> billed = new HashMap<>();
        for (final LogRecord record : deployment.platform().log().journal(ChargeWriter.STREAM)) {
            if (totals.apply(record)) {
                final Charge charge = Json.decode(record.data(), Charge.class);
                billed.put(charge.identity(), charge);
            }
        }
        return billed;
    }

    static String chargeIdentity(LoadResult result) {
        final String key = result.request().headers().get("Idempotency-Key");
        return key == null
                ? ProcessDeployment.ORGANISATION + "#" + result.headers().get("masticpaddle-request")
                : ProcessDeployment.ORGANISATION + ":" + key;
    }

    private static LoadResult sendChat(ProcessDeployment deployment) {
        final LoadResult result = join(deployment.send(0, deployment.chat("auto", Optional.empty(), SHORT_ANSWER_TOKENS, false)));
        assertThat(result.answered()).isTrue();
        return result;
    }

    /** Price that callers were told, by identity. The answer of an earlier run is not billed again. */
    static Map<String, Long> reportedMicros(List<LoadResult> results) {
        final Map<String, Long> told = new HashMap<>();
        results.stream()
                .filter(LoadResult::answered)
                .filter(result -> ChatText.costMicros(result) > 0)
                .filter(result -> !result.headers().containsKey("masticpaddle-replayed"))
                .forEach(result -> told.put(chargeIdentity(result), ChatText.costMicros(result)));
        return told;
    }

    static void awaitBilled(ProcessDeployment deployment, List<LoadResult> results) {
        final Set<String> missing = new HashSet<>(reportedMicros(results).keySet());
        try {
            await(() -> {
                missing.removeAll(billedCharges(deployment).keySet());
                return missing.isEmpty();
            });
        } catch (AssertionError e) {
            throw new AssertionError("never billed: " + missing, e);
        }
    }

    private static void killEntry(ProcessDeployment deployment) {
        final LoadResult result = sendChat(deployment);
        deployment.entry(0).kill();
        awaitBilled(deployment, List.of(result));
        deployment.entry(0).restart();
        deployment.awaitReady();
    }

    private static void killSidecar(ProcessDeployment deployment) {
        final LoadResult result = sendChat(deployment);
        final String attempt = result.headers().get("masticpaddle-attempt");
        for (int worker = 0; worker < 6; worker++) {
            if (deployment.platform().engines().get(worker).journalEntry(attempt).isPresent()) {
                deployment.engineSidecar(worker).kill();
                awaitBilled(deployment, List.of(result));
                deployment.engineSidecar(worker).restart();
            }
        }
        deployment.awaitReady();
    }

    private static void logOutage(ProcessDeployment deployment) {
        deployment.platform().log().faults().enable(Fault.OUTAGE, 0);
        deployment.logProxy().resetConnections();
        final List<LoadResult> results = new ArrayList<>();
        for (int count = 0; count < 10; count++) {
            results.add(sendChat(deployment));
        }
        results.forEach(result -> assertThat(billedCharges(deployment)).doesNotContainKey(chargeIdentity(result)));
        deployment.platform().log().faults().disableAll();
        awaitBilled(deployment, results);
    }

    private static void lostAppendResponse(ProcessDeployment deployment) {
        deployment.platform().log().faults().enableTimes(Fault.ANSWER_LOST, 0, 4);
        final List<LoadResult> results = new ArrayList<>();
        for (int count = 0; count < 5; count++) {
            results.add(sendChat(deployment));
        }
        awaitBilled(deployment, results);
        deployment.platform().log().faults().disableAll();
    }

    /** Sends SIGTERM to a process amid a mixed load through one entry. */
    private static void drainUnderLoad(ProcessDeployment deployment, DaemonProcess leaving, int entry) {
        deployment
                .platform()
                .plainServices()
                .forEach(service -> service.faults().enable(Fault.SLOW, 500));
        final List<CompletableFuture<LoadResult>> load = new ArrayList<>();
        for (int count = 0; count < 12; count++) {
            load.add(deployment.send(entry, deployment.chat("auto", Optional.empty(), LONG_ANSWER_TOKENS, count % 2 == 0)));
            load.add(deployment.sendBooking(entry, deployment.newKey(), 20_000));
        }
        final long running = load.size() / 2;
        await(() -> runningRequests(deployment) >= running);
        leaving.terminate();
        load.forEach(result -> {
            final LoadResult ended = join(result);
            assertWithMessage(new String(ended.body())).that(ended.answered()).isTrue();
            if ("chat".equals(ended.request().label())) {
                assertThat(ChatText.answerText(ended)).isPresent();
            }
        });
        assertThat(leaving.awaitExit()).isEqualTo(0);
        deployment
                .platform()
                .plainServices()
                .forEach(service -> service.faults().disableAll());
        leaving.restart();
        deployment.awaitReady();
    }

    private static long runningRequests(ProcessDeployment deployment) {
        return deployment.platform().engines().stream()
                .flatMap(engine -> engine.journal().stream())
                .filter(run -> run.startMillis() > 0 && run.endMillis() == 0)
                .count();
    }
}
