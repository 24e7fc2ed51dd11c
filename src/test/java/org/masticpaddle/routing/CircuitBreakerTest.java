package org.masticpaddle.routing;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against repeated requests to an upstream that is known to be unreachable. */
class CircuitBreakerTest {
    @Test
    void shouldStayClosedAfterASingleFailure() {
        final CircuitBreaker breaker = new CircuitBreaker();
        breaker.onFailure(0);
        assertThat(breaker.allows(1)).isTrue();
    }

    @Test
    void shouldOpenAtOnceWhenTheUpstreamIsUnreachable() {
        final CircuitBreaker breaker = new CircuitBreaker();
        breaker.onUnreachable(0);
        assertThat(breaker.allows(999)).isFalse();
        assertThat(breaker.allows(1_000)).isTrue();
    }

    @Test
    void shouldExtendTheOpenTimeOnlyAfterAFailedProbe() {
        final CircuitBreaker breaker = new CircuitBreaker();
        breaker.onUnreachable(0);
        breaker.onUnreachable(10);
        assertThat(breaker.allows(1_000)).isTrue();
        breaker.onSent(1_000);
        breaker.onUnreachable(1_001);
        assertThat(breaker.allows(2_999)).isFalse();
        assertThat(breaker.allows(3_001)).isTrue();
    }
}
