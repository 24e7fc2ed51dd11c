package org.masticpaddle.standin;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticpaddle.kernel.Kernel;
import org.masticpaddle.kernel.Service;
import org.masticpaddle.platform.HttpInstanceList;
import org.masticpaddle.platform.HttpRatingService;
import org.masticpaddle.platform.HttpWeightStore;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.platform.InstanceChanges;
import org.masticpaddle.platform.RatingService.RatingRequest;
import org.masticpaddle.wire.HttpClient;
import org.masticpaddle.wire.HttpRequest;
import org.masticpaddle.wire.HttpResponse;
import org.masticpaddle.wire.Json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against stand-ins of the smaller services that do not follow their documented bindings. */
class ServiceStandInsTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client = new HttpClient(1);
    private final Kernel kernel = new Kernel();

    @BeforeEach
    void start() {
        client.start();
    }

    @AfterEach
    void stop() {
        kernel.stop();
        client.stop();
    }

    @Test
    void shouldAnswerChangesToARecentReaderAndTheListToAnOldOne() {
        final InstanceListStandIn server = run(new InstanceListStandIn());
        final HttpInstanceList list = new HttpInstanceList(client, server.origin(), TIMEOUT);
        server.register(instance("a"));
        server.register(instance("b"));
        final InstanceChanges all = list.changes(0).join();
        assertThat(all.complete()).isTrue();
        assertThat(ids(all)).containsExactly("a", "b");
        server.markDraining("a");
        server.remove("b");
        final InstanceChanges changes = list.changes(all.version()).join();
        assertThat(changes.complete()).isFalse();
        assertThat(changes.instances().stream().map(Instance::state).toList())
                .containsExactly(Instance.State.LEAVING, Instance.State.GONE);
        for (int index = 0; index < 5000; index++) {
            server.register(instance("a"));
        }
        final InstanceChanges afterGap = list.changes(all.version()).join();
        assertThat(afterGap.complete()).isTrue();
        assertThat(ids(afterGap)).containsExactly("a");
    }

    @Test
    void shouldAnnounceAnOmittedInstanceAgain() {
        final InstanceListStandIn server = run(new InstanceListStandIn());
        final HttpInstanceList list = new HttpInstanceList(client, server.origin(), TIMEOUT);
        server.register(instance("a"));
        server.omit("a", Duration.ofSeconds(2));
        final InstanceChanges gap = list.changes(0).join();
        assertThat(ids(gap)).isEmpty();
        Conditions.await(() -> ids(list.changes(gap.version()).join()).equals(List.of("a")));
    }

    @Test
    void shouldShowChangesLate() {
        final InstanceListStandIn server = run(new InstanceListStandIn(Duration.ofSeconds(2)));
        final HttpInstanceList list = new HttpInstanceList(client, server.origin(), TIMEOUT);
        server.register(instance("a"));
        assertThat(ids(list.changes(0).join())).isEmpty();
        Conditions.await(() -> ids(list.changes(0).join()).equals(List.of("a")));
    }

    @Test
    void shouldBookAsOftenAsItIsCalled() {
        final PlainServiceStandIn service = run(new PlainServiceStandIn(Duration.ofMillis(1)));
        assertThat(book(service.origin(), "k1").status()).isEqualTo(201);
        service.faults().enableTimes(Fault.ANSWER_LOST, 0, 1);
        assertThrows(CompletionException.class, () -> book(service.origin(), "k1"));
        assertThat(service.bookingCount("k1")).isEqualTo(2);
        service.faults().enable(Fault.REFUSE, 0);
        assertThat(book(service.origin(), "k1").status()).isEqualTo(503);
        assertThat(service.bookingCount("k1")).isEqualTo(2);
    }

    @Test
    void shouldRateByTheTrueQuality() {
        final RatingStandIn server = run(new RatingStandIn(0, Map.of("hard", -0.3)));
        final HttpRatingService rating = new HttpRatingService(client, server.origin(), TIMEOUT);
        final String answer = AnswerText.of("m/v", "p", "r", 0.9, 5);
        assertThat(rating.rate(request("easy", answer)).join()).isWithin(1e-9).of(0.9);
        assertThat(rating.rate(request("hard", answer)).join()).isWithin(1e-9).of(0.6);
        assertThat(rating.rate(request("easy", "broken")).join()).isWithin(1e-9).of(0);
        assertThat(server.journal()).hasSize(3);
    }

    @Test
    void shouldSpaceLoadsAndKeepThePlaceOfARequester() {
        final WeightStoreStandIn server = run(new WeightStoreStandIn(Duration.ofHours(1)));
        final HttpWeightStore store = new HttpWeightStore(client, server.origin(), TIMEOUT);
        assertThat(store.reserve("m/v", "a").join()).isAtMost(1);
        final long second = store.reserve("m/v", "b").join();
        assertThat(second).isAtLeast(3_000_000L);
        assertThat(store.reserve("m/v", "b").join()).isAtMost(second);
        assertThat(store.reserve("m/v", "c").join()).isGreaterThan(second);
    }

    @Test
    void shouldSwitchTheFaultsOfAProxyByHttp() {
        final ProxyStandIn proxy = run(new ProxyStandIn(URI.create("http://127.0.0.1:9")));
        final ProxyStandIn.Command refuse =
                new ProxyStandIn.Command(ProxyStandIn.Action.REFUSE, FaultProxy.Direction.TO_CLIENT, 1);
        final HttpRequest command = HttpRequest.post(proxy.control(), "/proxy", refuse, TIMEOUT);
        assertThat(client.send(command).join().status()).isEqualTo(200);
        assertThrows(CompletionException.class, () -> book(proxy.origin(), "k"));
        // A connection that the proxy accepted would fail too, since nothing listens at the target.
        final byte[] answer = client.send(command).join().body();
        assertThat(Json.tree(answer).path("accepted").asInt(-1)).isEqualTo(0);
        final HttpRequest bad = HttpRequest.post(proxy.control(), "/proxy", Map.of("value", 1), TIMEOUT);
        assertThat(client.send(bad).join().status()).isEqualTo(400);
    }

    @Test
    void shouldStartTheStandInsOfAFileAndSwitchTheirFaults(@TempDir Path directory) throws Exception {
        final Path file = directory.resolve("standins.ini");
        Files.writeString(
                file,
                "[log]\nappends_a_second = 5\n[plain booking]\n[rating]\noffset.hard = -0.2\n"
                        + "[engine e1]\nversions = m/v1:0.8 m/v2:0.9:2\nloaded = m/v1\ntime_scale = 0.1\n");
        final Kernel started = StandInMain.start(file, System.out);
        final URI origin = started.find("plain booking", StandIn.class).origin();
        final Faults.Switch outage = new Faults.Switch(Fault.OUTAGE, "", true, 0, 1);
        client.send(HttpRequest.post(origin, "/control/faults", outage, TIMEOUT))
                .join();
        assertThat(book(origin, "k").status()).isEqualTo(503);
        assertThat(book(origin, "k").status()).isEqualTo(201);
        final HttpResponse journal = client.send(HttpRequest.get(origin, "/control/journal", TIMEOUT))
                .join();
        assertThat(Json.tree(journal.body()).path(0).path("key").asText()).isEqualTo("k");
        assertThat(started.find("engine e1", EngineStandIn.class).state().versions())
                .containsExactly("m/v1");
        started.stop();
        Files.writeString(file, "[engine e1]\n");
        assertThrows(IllegalArgumentException.class, () -> StandInMain.start(file, System.out));
    }

    private <S extends Service> S run(S service) {
        kernel.register("service", service);
        kernel.start();
        return service;
    }

    private HttpResponse book(URI origin, String key) {
        final HttpRequest call = HttpRequest.post(origin, "/bookings", Map.of("day", "monday"), TIMEOUT);
        return client.send(call.withHeaders(Map.of("Idempotency-Key", key))).join();
    }

    private static RatingRequest request(String kind, String answer) {
        return new RatingRequest("r", kind, "m/v", "p", answer);
    }

    private static Instance instance(String id) {
        final URI address = URI.create("http://127.0.0.1:" + (1000 + id.charAt(0)));
        return new Instance(id, "s", "region", "domain", address, Instance.State.LIVE);
    }

    private static List<String> ids(InstanceChanges changes) {
        return changes.instances().stream().map(Instance::id).toList();
    }
}
