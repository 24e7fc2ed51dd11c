package org.masticpaddle.bench;

import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.ObjIntConsumer;

import org.masticpaddle.standin.EngineJournal;
import org.masticpaddle.standin.EngineStandIn;
import org.masticpaddle.standin.Fault;
import org.masticpaddle.standin.FaultProxy.Direction;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.bench.ProcessDeployment.await;
import static org.masticpaddle.bench.ProcessDeployment.join;

/** Faults that meet a chat answer, which its caller gets whole and unmixed or not at all. */
final class AnswerCells {
    /** About two seconds of text at the speed of the stand-ins. */
    private static final int LONG_ANSWER_TOKENS = 400;

    private static final int SHORT_ANSWER_TOKENS = 20;

    private AnswerCells() {}

    static List<FaultCell> cells() {
        return List.of(
                new FaultCell("kill sidecar", "first token", "a whole answer comes from another upstream", d -> {
                    assertWholeAnswer(d, injectDuringRequest(d, false, (world, worker) -> {
                        world.engineSidecar(worker).kill();
                    }));
                    restartExited(d);
                }),
                new FaultCell("kill sidecar", "stream", "a stream that has begun is whole or fails", d -> {
                    join(injectDuringRequest(
                            d,
                            true,
                            (world, worker) -> world.engineSidecar(worker).kill()));
                    restartExited(d);
                }),
                new FaultCell("pause sidecar", "stream", "the stream goes on", d -> {
                    assertWholeAnswer(d, injectDuringRequest(d, true, AnswerCells::pauseSidecar));
                }),
                new FaultCell("pause entry", "stream", "the stream goes on", d -> {
                    assertWholeAnswer(d, injectDuringRequest(d, true, AnswerCells::pauseEntry));
                }),
                new FaultCell("lost answer", "stream", "the entry resumes at the offset", d -> {
                    assertWholeAnswer(d, injectDuringRequest(d, true, (world, worker) -> {
                        world.engineSidecar(worker).proxy().resetConnections();
                    }));
                }),
                new FaultCell("lost answer of the engine", "stream", "the sidecar resumes at the offset", d -> {
                    assertWholeAnswer(d, injectDuringRequest(d, true, (world, worker) -> {
                        world.engineProxy(worker).resetConnections();
                    }));
                }),
                new FaultCell("silent connection", "stream", "the entry resumes at a new connection", d -> {
                    assertWholeAnswer(d, injectDuringRequest(d, true, (world, worker) -> {
                        world.engineSidecar(worker).proxy().stallOpenConnections(Direction.TO_CLIENT);
                    }));
                }),
                new FaultCell("silent connection", "first token", "the dispatch is found by its id", d -> {
                    assertWholeAnswer(d, injectDuringRequest(d, false, (world, worker) -> {
                        world.engineSidecar(worker).proxy().stallOpenConnections(Direction.TO_CLIENT);
                    }));
                }),
                new FaultCell("lost request", "dispatch", "another upstream answers", AnswerCells::lostRequest),
                new FaultCell("late answer", "first token", "the answer is whole", d -> {
                    injectEngineFault(d, Fault.ANSWER_LATE, 1_000);
                }),
                new FaultCell("answer cut", "stream", "the sidecar resumes", d -> injectEngineFault(d, Fault.ANSWER_CUT, 0)),
                new FaultCell("answer of another", "stream", "no caller gets it", AnswerCells::answerOfAnother),
                new FaultCell("client gone", "stream", "the engine's work is cancelled", d -> disconnectClient(d, true)),
                new FaultCell("client gone", "first token", "the engine's work is cancelled", d -> {
                    disconnectClient(d, false);
                }));
    }

    /** Sends a long request and lets the fault meet the worker that runs it; a stream has begun by then. */
    static CompletableFuture<LoadResult> injectDuringRequest(
            ProcessDeployment deployment, boolean stream, ObjIntConsumer<ProcessDeployment> fault) {
        final Set<String> known = runIds(deployment);
        final AtomicBoolean begun = new AtomicBoolean(!stream);
        final CompletableFuture<LoadResult> answer =
                deployment.send(0, deployment.chat("auto", Optional.empty(), LONG_ANSWER_TOKENS, stream), () -> begun.set(true));
        await(() -> begun.get() && findNewRun(deployment, known).isPresent());
        fault.accept(deployment, findNewRun(deployment, known).orElseThrow().worker);
        return answer;
    }

    private static void pauseSidecar(ProcessDeployment deployment, int worker) {
        deployment.engineSidecar(worker).pause();
        awaitRunsEnded(deployment, worker);
        deployment.engineSidecar(worker).resume();
    }

    private static void pauseEntry(ProcessDeployment deployment, int worker) {
        deployment.entry(0).pause();
        awaitRunsEnded(deployment, worker);
        deployment.entry(0).resume();
    }

    private static void awaitRunsEnded(ProcessDeployment deployment, int worker) {
        await(() ->
                deployment.platform().engines().get(worker).journal().stream().allMatch(run -> run.endMillis() > 0));
    }

    private static void restartExited(ProcessDeployment deployment) {
        deployment.processes().stream().filter(process -> !process.alive()).forEach(DaemonProcess::restart);
        deployment.awaitReady();
    }

    /** The text itself is compared for all answers after each cell. */
    private static void assertWholeAnswer(ProcessDeployment deployment, CompletableFuture<LoadResult> answer) {
        assertThat(ChatText.answerText(join(answer))).isPresent();
    }

    private static void lostRequest(ProcessDeployment deployment) {
        for (int worker = 0; worker < 6; worker++) {
            if (worker != 3) {
                deployment.engineProxy(worker).refuseConnections(true);
                deployment.engineProxy(worker).resetConnections();
            }
        }
        await(() -> join(deployment.send(0, deployment.chat("auto", Optional.empty(), SHORT_ANSWER_TOKENS, false)))
                .answered());
        for (int worker = 0; worker < 6; worker++) {
            deployment.engineProxy(worker).clearFaults();
            deployment.engineProxy(worker).refuseConnections(false);
        }
        deployment.awaitReady();
    }

    private static void injectEngineFault(ProcessDeployment deployment, Fault fault, long value) {
        deployment.platform().engines().forEach(engine -> engine.faults().enableTimes(fault, value, 1));
        for (int round = 0; round < 6; round++) {
            assertWholeAnswer(deployment, deployment.send(0, deployment.chat("auto", Optional.empty(), SHORT_ANSWER_TOKENS, true)));
        }
        deployment.platform().engines().forEach(engine -> engine.faults().disableAll());
    }

    private static void answerOfAnother(ProcessDeployment deployment) {
        deployment.platform().engines().forEach(engine -> engine.faults().enable(Fault.ANSWER_OF_ANOTHER, 0));
        final LoadResult refused = join(deployment.send(0, deployment.chat("auto", Optional.empty(), SHORT_ANSWER_TOKENS, false)));
        assertThat(refused.answered()).isFalse();
        deployment.platform().engines().forEach(engine -> engine.faults().disableAll());
        deployment.awaitReady();
    }

    private static void disconnectClient(ProcessDeployment deployment, boolean stream) {
        final Set<String> known = runIds(deployment);
        final Socket caller = ClaimCells.open(deployment, 0, deployment.chat("auto", Optional.empty(), LONG_ANSWER_TOKENS, stream));
        await(() -> findNewRun(deployment, known).isPresent());
        ClaimCells.close(caller);
        await(() -> findNewRun(deployment, known).orElseThrow().entry.endMillis() > 0);
        assertThat(findNewRun(deployment, known).orElseThrow().entry.cancelled()).isTrue();
    }

    private record Run(int worker, EngineJournal.Entry entry) {}

    private static Set<String> runIds(ProcessDeployment deployment) {
        final Set<String> ids = new HashSet<>();
        deployment.platform().engines().forEach(engine -> engine.journal().forEach(run -> ids.add(run.id())));
        return ids;
    }

    private static Optional<Run> findNewRun(ProcessDeployment deployment, Set<String> known) {
        final List<EngineStandIn> engines = deployment.platform().engines();
        final List<Run> runs = new ArrayList<>();
        for (int worker = 0; worker < engines.size(); worker++) {
            for (final EngineJournal.Entry run : engines.get(worker).journal()) {
                if (!known.contains(run.id()) && run.startMillis() > 0) {
                    runs.add(new Run(worker, run));
                }
            }
        }
        return runs.stream().findFirst();
    }
}
