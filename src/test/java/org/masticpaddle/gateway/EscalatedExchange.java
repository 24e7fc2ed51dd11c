package org.masticpaddle.gateway;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.SelfReport;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.kernel.FakeScheduler;
import org.masticpaddle.memory.MemoryBudget;
import org.masticpaddle.routes.RequestKind;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.routing.EscalationPolicy;
import org.masticpaddle.routing.ModelCascade;
import org.masticpaddle.routing.UpstreamPlacement;
import org.masticpaddle.routing.UpstreamSpeeds;
import org.masticpaddle.wire.EmptyBody;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpRequestException;
import org.masticpaddle.wire.StreamClient;
import org.masticpaddle.wire.StreamHandle;
import org.masticpaddle.wire.StreamListener;

/** One request of a caller in virtual time, with upstreams whose answers a test writes. Not thread-safe. */
final class EscalatedExchange {
    static final String SMALL = "small";
    static final String LARGE = "large";
    static final long TIMEOUT_MILLIS = 4_000;

    private static final String SERVICE = "s";
    private static final String ID = "id";

    final FakeScheduler scheduler = new FakeScheduler();
    final RecordingCaller caller = new RecordingCaller();
    final GatewayCounters counters = new GatewayCounters();
    final MemoryBudget memory = new MemoryBudget(1_000_000);
    final List<Answer> answers = new ArrayList<>();
    final GatewayState state;
    final RequestForwarder forwarder;
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1L);

    /** Sends a request to two upstreams. */
    EscalatedExchange(EscalationPolicy policy, boolean resumable) {
        state = new GatewayState(RolloutDeployment.BOUNDS, random);
        for (final String id : List.of("a", "b")) {
            state.registry()
                    .applyEntry(new Upstream(id, SERVICE, URI.create("http://" + id), id, "v", 8, false, 1, 0), 0);
        }
        forwarder = new RequestForwarder(context(policy), caller, admitted(resumable));
        forwarder.start();
    }

    /** Returns the last answer of a model, empty if the model was not asked. */
    Optional<Answer> answer(String model) {
        return answers.stream().filter(answer -> answer.model.equals(model)).reduce((first, last) -> last);
    }

    private GatewayContext context(EscalationPolicy policy) {
        final DecisionLog log = new DecisionLog("g", () -> 0, text -> {});
        return new GatewayContext(
                scheduler,
                new Client(),
                new UpstreamHealthProbe(
                        origin -> CompletableFuture.completedFuture(null),
                        origin -> {},
                        scheduler,
                        log,
                        Long.MAX_VALUE),
                new Codec(),
                state,
                new OneVersion(),
                new QuarantineCoordinator(
                        "g",
                        new FakeStreams(scheduler),
                        origin -> CompletableFuture.completedFuture(null),
                        scheduler,
                        random,
                        () -> 0,
                        log),
                new UpstreamPlacement("d", UpstreamSpeeds.IGNORED),
                new ModelCascade(50, policy),
                UrgencyOrder.RANK,
                memory,
                log,
                counters,
                random);
    }

    private AdmittedRequest admitted(boolean resumable) {
        final Route route = new Route(
                "r",
                "host",
                "/",
                RequestKind.STREAM,
                resumable,
                TIMEOUT_MILLIS,
                1_000,
                1_000,
                1,
                true,
                3,
                List.of(new Route.Target(SERVICE, 1)),
                List.of(SMALL, LARGE));
        return new AdmittedRequest(
                RoutingTable.of(1, List.of(route), Map.of(), List.of(), RequestLimits.DEFAULT, false),
                route,
                Optional.empty(),
                new InboundRequest(
                        ID,
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        100,
                        3,
                        OptionalInt.empty(),
                        List.of(),
                        OptionalLong.empty(),
                        Optional.empty()),
                "POST",
                "/",
                Map.of(),
                EmptyBody.create(),
                0);
    }

    /** Answer of an upstream. Not thread-safe. */
    final class Answer implements StreamHandle {
        final String model;
        private final StreamListener listener;
        private final CompletableFuture<Void> finished = new CompletableFuture<>();
        private boolean headSent;
        private int events;

        private Answer(String model, StreamListener listener) {
            this.model = model;
            this.listener = listener;
        }

        boolean ended() {
            return finished.isDone();
        }

        boolean whole() {
            return ended() && !finished.isCompletedExceptionally();
        }

        boolean headSent() {
            return headSent;
        }

        int events() {
            return events;
        }

        /** Answers with status 200. */
        void begin(int confidence) {
            if (!ended() && !headSent) {
                headSent = true;
                listener.onHead(200, Map.of("confidence", Integer.toString(confidence)));
            }
        }

        void event() {
            if (!ended() && headSent) {
                listener.onBytes(text(model, ++events).getBytes(StandardCharsets.UTF_8));
            }
        }

        void end() {
            if (!ended() && headSent) {
                finished.complete(null);
            }
        }

        /** Answers with another status and no body. */
        void refuse(int status, boolean notRun) {
            if (!ended() && !headSent) {
                headSent = true;
                listener.onHead(status, notRun ? Map.of("not-run", "1") : Map.of());
                end();
            }
        }

        /** Closes the connection. */
        void lose() {
            fail(HttpRequestException.Delivery.POSSIBLY_SENT);
        }

        private void fail(HttpRequestException.Delivery delivery) {
            finished.completeExceptionally(new HttpRequestException(delivery, "closed", null));
        }

        @Override
        public CompletableFuture<Void> finished() {
            return finished;
        }

        @Override
        public void cancel() {
            fail(HttpRequestException.Delivery.POSSIBLY_SENT);
        }

        @Override
        public void pause() {}

        @Override
        public void resume() {}
    }

    /** Returns an event as the caller gets it. */
    static String text(String model, int number) {
        return "id:" + number + "\ndata:" + model + "\n\n";
    }

    /** Client that leaves the answers to the test. */
    private final class Client implements StreamClient {
        @Override
        public StreamHandle stream(HttpRequest request, StreamListener listener) {
            final Answer answer = new Answer(request.headers().get("model"), listener);
            answers.add(answer);
            scheduler.schedule(0, () -> {
                if (!answer.ended() && !listener.mayBeSent()) {
                    answer.fail(HttpRequestException.Delivery.NOT_SENT);
                }
            });
            return answer;
        }

        @Override
        public void closeIdle(URI origin) {}
    }

    /** Codec of the headers that the answers of this exchange have. */
    private static final class Codec implements HeaderCodec {
        @Override
        public InboundRequest parseRequest(Map<String, String> headers) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Map<String, String> upstreamRequestHeaders(
                Map<String, String> headers, UpstreamRequestMetadata metadata) {
            return Map.of("model", metadata.model().orElseThrow());
        }

        @Override
        public ResponseMetadata parseResponse(Map<String, String> headers) {
            return new ResponseMetadata(
                    Optional.of(ID),
                    headers.containsKey("not-run"),
                    true,
                    headers.containsKey("confidence")
                            ? OptionalInt.of(Integer.parseInt(headers.get("confidence")))
                            : OptionalInt.empty(),
                    SelfReport.NONE);
        }
    }

    /** The only version of the service. */
    private static final class OneVersion implements VersionRouter {
        @Override
        public EligibleUpstreams eligibleUpstreams(String service, Optional<String> session, String requestId) {
            return new EligibleUpstreams(upstream -> true, upstream -> true, upstream -> true, Assignment.OLD_SHARE, 0);
        }

        @Override
        public AttemptObserver attemptSent(SentAttempt attempt) {
            return new AttemptObserver() {
                @Override
                public void onEvents(int events) {}

                @Override
                public void onEnd(AttemptEnd end) {}
            };
        }

        @Override
        public boolean updatesEstimates(Upstream upstream) {
            return true;
        }
    }
}
