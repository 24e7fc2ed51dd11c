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

    /** Guards against a token that is altered, belongs to another organisation, or outlives its session. */
    @Test
    void shouldRefuseForgedForeignAndExpiredTokens() {
        final SessionToken tokens = new SessionToken(List.of(NEW_KEY, OLD_KEY), 5_000);
        final String token = tokens.issue(binding);
        assertThat(tokens.check(token, "org", 6_000)).isEqualTo(new SessionToken.Valid(binding));
        assertThat(tokens.check(token, "other", 6_000)).isEqualTo(refused(SessionToken.Reason.FOREIGN));
        assertThat(tokens.check(token, "org", 6_001)).isEqualTo(refused(SessionToken.Reason.EXPIRED));
        final String other = tokens.issue(binding.movedTo(LARGE, 1_000));
        final String mixed = other.substring(0, other.indexOf('.')) + token.substring(token.indexOf('.'));
        assertThat(tokens.check(mixed, "org", 2_000)).isEqualTo(refused(SessionToken.Reason.FORGED));
        for (final String broken : List.of("", ".", "a.b", "%%.%%", "x".repeat(9_000) + ".", "é.é")) {
            assertThat(tokens.check(broken, "org", 2_000)).isInstanceOf(SessionToken.Refused.class);
        }
    }

    /** Guards against all sessions being lost when the key is changed. */
    @Test
    void shouldAcceptThePreviousKey() {
        final String token = new SessionToken(List.of(OLD_KEY), 5_000).issue(binding);
        assertThat(new SessionToken(List.of(NEW_KEY, OLD_KEY), 5_000).check(token, "org", 2_000))
                .isEqualTo(new SessionToken.Valid(binding));
        assertThat(new SessionToken(List.of(NEW_KEY), 5_000).check(token, "org", 2_000))
                .isEqualTo(refused(SessionToken.Reason.FORGED));
    }

    /** Guards against both homes in one failure domain, a leaving home, and needless change of homes. */
    @Property(tries = 300, seed = "20261204")
    void shouldSelectTwoHomesInDifferentFailureDomains(@ForAll @IntRange(min = 2, max = 20) int size, @ForAll long id) {
        final List<Instance> instances = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            instances.add(instance(index, Instance.State.LIVE));
        }
        instances.add(instance(99, Instance.State.LEAVING));
        final List<Instance> homes = SessionReplicas.of("org", "s" + id, instances);
        assertThat(homes).hasSize(2);
        assertThat(homes).doesNotContain(instances.get(size));
        assertThat(homes.get(0).failureDomain()).isNotEqualTo(homes.get(1).failureDomain());
        instances.removeIf(
                instance -> !homes.contains(instance) && instance.id().hashCode() % 2 == 0);
        assertThat(SessionReplicas.of("org", "s" + id, instances)).isEqualTo(homes);
    }

    /** Guards against homes that differ for ever, and against an old binding undoing a move. */
    @Test
    void shouldMergeBindingsAlikeInAnyOrder() {
        final SessionBinding later = new SessionBinding("org", "s\n1", LARGE, 1_001, 0);
        final SessionBinding moved = binding.movedTo(LARGE, 9_000);
        assertThat(binding.merge(later)).isEqualTo(binding);
        assertThat(later.merge(binding)).isEqualTo(binding);
        assertThat(binding.merge(moved)).isEqualTo(moved);
        assertThat(moved.merge(later).merge(binding)).isEqualTo(moved);
    }

    /** Guards against unbounded memory, a later binding replacing the first, and reading another's session. */
    @Test
    void shouldRememberTheFirstBindingWithinBounds() {
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

    /** Guards against moving a cache that is slower than prefill, unusable at the target, or already there. */
    @Test
    void shouldChooseTheCheaperWayToMove() {
        assertThat(transfer(true, 1e6, 0)).isEqualTo(SessionTransfer.MOVE_CACHE);
        assertThat(transfer(true, 1e3, 0)).isEqualTo(SessionTransfer.PREFILL);
        assertThat(transfer(true, 1e6, 0.95)).isEqualTo(SessionTransfer.PREFILL);
        assertThat(transfer(false, 1e6, 0)).isEqualTo(SessionTransfer.PREFILL);
    }

    private static SessionTransfer transfer(boolean sameVersion, double bytesPerMilli, double hit) {
        return SessionTransfer.choose(
                new SessionTransfer.Costs(sameVersion, true, 10_000, 10_000, bytesPerMilli, 20, 0.1, hit));
    }

    private static SessionToken.Check refused(SessionToken.Reason reason) {
        return new SessionToken.Refused(reason);
    }

    private static Instance instance(int index, Instance.State state) {
        return new Instance("i" + index, "llm", "r", "d" + index % 3, URI.create("http://127.0.0.1:1"), state);
    }
}
