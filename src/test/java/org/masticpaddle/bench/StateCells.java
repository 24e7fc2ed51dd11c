package org.masticpaddle.bench;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.routing.SessionReplicas;
import org.masticpaddle.standin.Fault;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.masticpaddle.bench.ProcessDeployment.await;
import static org.masticpaddle.bench.ProcessDeployment.join;

/** Faults that meet sessions, the routing document and the instance list. */
final class StateCells {
    private static final String VERSION = "model-a/v2";
    private static final String WITHDRAWN_VERSION = "model-a/v1";
    private static final int OUTPUT_TOKENS = 10;

    private StateCells() {}

    static List<FaultCell> cells() {
        return List.of(
                new FaultCell("kill entry", "admit", "a session keeps its version", StateCells::killEntryOfSession),
                new FaultCell(
                        "kill sidecar", "admit", "a session keeps its version through the loss of both homes", d -> {
                            killSessionReplicas(d);
                        }),
                new FaultCell(
                        "stale list", "dispatch", "an upstream that is gone loses no request", StateCells::staleInstanceList),
                new FaultCell(
                        "bad version", "stream", "its errors reach no caller of another version", d -> failingVersion(d)),
                new FaultCell("log out", "fold", "a restarted entry keeps the document", StateCells::restartEntriesInLogOutage),
                new FaultCell("log out", "publish", "a withdrawn version gets no new work", StateCells::withdrawVersion),
                new FaultCell("restart sidecar", "fold", "a withdrawal outlives all restarts", StateCells::restartAllAfterWithdrawal));
    }

    private static String awaitAnsweringVersion(ProcessDeployment deployment, int entry, String model, String session) {
        final LoadResult[] result = new LoadResult[1];
        await(() -> {
            result[0] = join(deployment.send(entry, deployment.chat(model, Optional.of(session), OUTPUT_TOKENS, false)));
            return result[0].answered();
        });
        return result[0].headers().get("masticpaddle-version");
    }

    private static void killEntryOfSession(ProcessDeployment deployment) {
        final String session = "session-" + deployment.newKey();
        assertThat(awaitAnsweringVersion(deployment, 0, VERSION, session)).isEqualTo(VERSION);
        deployment.entry(0).kill();
        assertThat(awaitAnsweringVersion(deployment, 1, "auto", session)).isEqualTo(VERSION);
        deployment.entry(0).restart();
        deployment.awaitReady();
        assertThat(awaitAnsweringVersion(deployment, 0, "auto", session)).isEqualTo(VERSION);
    }

    private static void killSessionReplicas(ProcessDeployment deployment) {
        final String session = "session-" + deployment.newKey();
        assertThat(awaitAnsweringVersion(deployment, 0, VERSION, session)).isEqualTo(VERSION);
        final Collection<Instance> engines = deployment.platform().instances().instances().stream()
                .filter(instance -> "model-engines".equals(instance.service()))
                .toList();
        for (final Instance home : SessionReplicas.of(ProcessDeployment.ORGANISATION, session, engines)) {
            final int worker = Integer.parseInt(home.id().substring("worker-".length()));
            deployment.engineSidecar(worker).kill();
            assertThat(awaitAnsweringVersion(deployment, 1, "auto", session)).isEqualTo(VERSION);
            deployment.engineSidecar(worker).restart();
            deployment.awaitReady();
            assertThat(awaitAnsweringVersion(deployment, 0, "auto", session)).isEqualTo(VERSION);
        }
    }

    private static void staleInstanceList(ProcessDeployment deployment) {
        deployment.platform().instances().faults().enable(Fault.OUTAGE, 0);
        deployment.engineSidecar(1).kill();
        for (int count = 0; count < 10; count++) {
            final LoadResult result =
                    join(deployment.send(0, deployment.chat("auto", Optional.empty(), OUTPUT_TOKENS, false)));
            assertWithMessage(new String(result.body())).that(result.answered()).isTrue();
        }
        deployment.platform().instances().faults().disableAll();
        deployment.engineSidecar(1).restart();
        deployment.awaitReady();
    }

    private static void failingVersion(ProcessDeployment deployment) {
        deployment
                .platform()
                .engines()
                .forEach(engine -> engine.faults().enableForVersion(Fault.VERSION_ERRORS, "model-b/v2", 100));
        for (int count = 0; count < 5; count++) {
            final LoadResult bad =
                    join(deployment.send(0, deployment.chat("model-b/v2", Optional.empty(), OUTPUT_TOKENS, true)));
            assertThat(new String(bad.body())).doesNotContain("the version failed");
            assertWithMessage(bad.headers() + new String(bad.body()))
                    .that(bad.answered())
                    .isFalse();
            assertThat(join(deployment.send(0, deployment.chat(VERSION, Optional.empty(), OUTPUT_TOKENS, true)))
                            .answered())
                    .isTrue();
        }
        deployment.platform().engines().forEach(engine -> engine.faults().disableAll());
    }

    private static long revision(ProcessDeployment deployment, int entry) {
        return deployment
                .status(entry)
                .map(status -> status.path("revision").asLong())
                .orElse(-1L);
    }

    private static boolean ready(ProcessDeployment deployment, int entry) {
        return deployment
                .status(entry)
                .map(status -> status.path("ready"))
                .map(JsonNode::asBoolean)
                .orElse(false);
    }

    private static void restartEntriesInLogOutage(ProcessDeployment deployment) {
        final long revision = revision(deployment, 0);
        deployment.platform().log().faults().enable(Fault.OUTAGE, 0);
        deployment.logProxy().resetConnections();
        deployment.entry(0).kill();
        deployment.entry(0).restart();
        await(() -> ready(deployment, 0));
        assertThat(revision(deployment, 0)).isEqualTo(revision);
        // Without the other entry there is no majority.
        deployment.entry(1).pause();
        deployment.entry(0).kill();
        deployment.entry(0).restart();
        await(() -> deployment.entry(0).log().contains("a majority is needed"));
        assertThat(ready(deployment, 0)).isFalse();
        deployment.entry(1).resume();
        await(() -> ready(deployment, 0));
        assertThat(revision(deployment, 0)).isEqualTo(revision);
        deployment.platform().log().faults().disableAll();
        deployment.awaitReady();
    }

    private static void withdrawVersion(ProcessDeployment deployment) {
        final long before = revision(deployment, 0);
        deployment.publish(
                "platform",
                deployment
                        .part("platform")
                        .replace("[platform version model-a v1]", "[platform version model-a v1]\nstate = withdrawn"));
        await(() -> IntStream.of(0, 1).allMatch(entry -> revision(deployment, entry) > before));
        assertWithdrawnVersionUnused(deployment);
    }

    /** Sends requests through both entries and checks that no engine runs the withdrawn version for them. */
    private static void assertWithdrawnVersionUnused(ProcessDeployment deployment) {
        final long runs = withdrawnVersionRuns(deployment);
        for (int count = 0; count < 20; count++) {
            final LoadResult result =
                    join(deployment.send(count % 2, deployment.chat("auto", Optional.empty(), OUTPUT_TOKENS, false)));
            assertThat(result.answered()).isTrue();
        }
        assertThat(join(deployment.send(0, deployment.chat(WITHDRAWN_VERSION, Optional.empty(), OUTPUT_TOKENS, false)))
                        .answered())
                .isFalse();
        assertThat(withdrawnVersionRuns(deployment)).isEqualTo(runs);
    }

    private static long withdrawnVersionRuns(ProcessDeployment deployment) {
        return deployment.platform().engines().stream()
                .flatMap(engine -> engine.journal().stream())
                .filter(run -> run.version().equals(WITHDRAWN_VERSION))
                .count();
    }

    private static void restartAllAfterWithdrawal(ProcessDeployment deployment) {
        deployment.platform().log().faults().enable(Fault.OUTAGE, 0);
        deployment.logProxy().resetConnections();
        for (int entry = 0; entry < 2; entry++) {
            deployment.entry(entry).kill();
            deployment.entry(entry).restart();
            final int restarted = entry;
            await(() -> ready(deployment, restarted));
        }
        deployment.engineSidecar(0).kill();
        deployment.engineSidecar(0).restart();
        assertWithdrawnVersionUnused(deployment);
        deployment.platform().log().faults().disableAll();
        deployment.awaitReady();
    }
}
