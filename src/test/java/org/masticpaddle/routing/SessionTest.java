package org.masticpaddle.routing;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.Instance;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.routing.Fixtures.LARGE;
import static org.masticpaddle.routing.Fixtures.SMALL;

class SessionTest {
    private static final byte[] OLD_KEY = new byte[32];
    private static final byte[] NEW_KEY = "0123456789abcdef".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    private final SessionBinding binding = new SessionBinding("org", "s\n1", SMALL, 1_000, 0);

    /** Guards against tokens that are altered, belong to another organisation, or outlive their session. */
    @Test
    void shouldRejectForgedForeignAndExpiredTokens() {
        final SessionToken tokens = new SessionToken(List.of(NEW_KEY, OLD_KEY), 5_000);
        final String token = tokens.issue(binding);
        assertThat(tokens.check(token, "org", 6_000)).isEqualTo(new SessionToken.Valid(binding));
        assertThat(tokens.check(token, "other", 6_000)).isEqualTo(rejected(SessionToken.Reason.FOREIGN));
        assertThat(tokens.check(token, "org", 6_001)).isEqualTo(rejected(SessionToken.Reason.EXPIRED));
        final String otherToken = tokens.issue(binding.movedTo(LARGE, 1_000));
        final String forged = otherToken.substring(0, otherToken.indexOf('.')) + token.substring(token.indexOf('.'));
        assertThat(tokens.check(forged, "org", 2_000)).isEqualTo(rejected(SessionToken.Reason.FORGED));
        for (final String malformed : List.of("", ".", "a.b", "%%.%%", "x".repeat(9_000) + ".", "é.é")) {
            assertThat(tokens.check(malformed, "org", 2_000)).isInstanceOf(SessionToken.Refused.class);
        }
    }

    /** Guards against the loss of all sessions when the key is rotated. */
    @Test
    void shouldAcceptThePreviousKey() {
        final String token = new SessionToken(List.of(OLD_KEY), 5_000).issue(binding);
        assertThat(new SessionToken(List.of(NEW_KEY, OLD_KEY), 5_000).check(token, "org", 2_000))
                .isEqualTo(new SessionToken.Valid(binding));
        assertThat(new SessionToken(List.of(NEW_KEY), 5_000).check(token, "org", 2_000))
                .isEqualTo(rejected(SessionToken.Reason.FORGED));
    }

    /** Guards against both replicas in one failure domain, a draining replica, and needless reassignment. */
    @Property(tries = 300, seed = "20261204")
    void shouldSelectTwoReplicasInDifferentFailureDomains(
            @ForAll @IntRange(min = 2, max = 20) int size, @ForAll long id) {
        final List<Instance> instances = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            instances.add(instance(index, Instance.State.LIVE));
        }
        instances.add(instance(99, Instance.State.LEAVING));
        final List<Instance> replicas = SessionReplicas.of("org", "s" + id, instances);
        assertThat(replicas).hasSize(2);
        assertThat(replicas).doesNotContain(instances.get(size));
        assertThat(replicas.get(0).failureDomain()).isNotEqualTo(replicas.get(1).failureDomain());
        instances.removeIf(
                instance -> !replicas.contains(instance) && instance.id().hashCode() % 2 == 0);
        assertThat(SessionReplicas.of("org", "s" + id, instances)).isEqualTo(replicas);
    }

    /** Guards against replicas that never converge, and against an old binding that reverts the move of a session. */
    @Test
    void shouldMergeBindingsInAnyOrderWithTheSameResult() {
        final SessionBinding later = new SessionBinding("org", "s\n1", LARGE, 1_001, 0);
        final SessionBinding moved = binding.movedTo(LARGE, 9_000);
        assertThat(binding.merge(later)).isEqualTo(binding);
        assertThat(later.merge(binding)).isEqualTo(binding);
        assertThat(binding.merge(moved)).isEqualTo(moved);
        assertThat(moved.merge(later).merge(binding)).isEqualTo(moved);
    }

    /**
     * Guards against unlimited memory, a later binding that replaces the first, and access to another organisation's
     * session.
     */
    @Test
    void shouldKeepTheFirstBindingWithinTheCapacity() {
        final SessionBindings bindings = new SessionBindings(2, 5_000);
        assertThat(bindings.bind(binding, 1_000)).isEqualTo(binding);
        assertThat(bindings.bind(new SessionBinding("org", "s\n1", LARGE, 2_000, 0), 2_000))
                .isEqualTo(binding);
        assertThat(bindings.find("other", "s\n1", 2_000)).isEmpty();
        assertThat(bindings.find("org", "s\n1", 7_000)).isEmpty();
        for (int index = 0; index < 5; index++) {
            bindings.bind(new SessionBinding("org", "t" + index, SMALL, 7_000, 0), 7_000);
        }
        assertThat(bindings.size()).isEqualTo(2);
    }

    /** Guards against the transfer of a cache that is slower than prefill, unusable at the target, or already there. */
    @Test
    void shouldChooseTheFasterTransfer() {
        assertThat(transfer(true, 1e6, 0)).isEqualTo(SessionTransfer.TRANSFER_CACHE);
        assertThat(transfer(true, 1e3, 0)).isEqualTo(SessionTransfer.PREFILL);
        assertThat(transfer(true, 1e6, 0.95)).isEqualTo(SessionTransfer.PREFILL);
        assertThat(transfer(false, 1e6, 0)).isEqualTo(SessionTransfer.PREFILL);
    }

    private static SessionTransfer transfer(boolean sameVersion, double bytesPerMilli, double expectedHitRatio) {
        return SessionTransfer.choose(
                new SessionTransfer.Costs(sameVersion, true, 10_000, 10_000, bytesPerMilli, 20, 0.1, expectedHitRatio));
    }

    private static SessionToken.Check rejected(SessionToken.Reason reason) {
        return new SessionToken.Refused(reason);
    }

    private static Instance instance(int index, Instance.State state) {
        return new Instance("i" + index, "llm", "r", "d" + index % 3, URI.create("http://127.0.0.1:1"), state);
    }
}
