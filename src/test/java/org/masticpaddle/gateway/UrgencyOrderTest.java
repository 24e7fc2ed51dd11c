package org.masticpaddle.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.masticpaddle.admission.PermitQueue;
import org.masticpaddle.routes.KeyOwner;
import org.masticpaddle.routes.RequestKind;
import org.masticpaddle.routes.RequestLimits;
import org.masticpaddle.routes.Route;
import org.masticpaddle.routes.RoutingTable;
import org.masticpaddle.wire.EmptyBody;

import static com.google.common.truth.Truth.assertThat;

/** Guards against urgent requests that stand behind a burst of background work of organisations of equal rank. */
class UrgencyOrderTest {
    private static final OptionalInt NO_RANK = OptionalInt.empty();
    private static final int URGENT = 0;
    private static final int STANDARD = 1;
    private static final int BACKGROUND = 2;

    /** Replays a burst of background requests before one urgent request, all of organisations of standard rank. */
    @Test
    void shouldPutAnUrgentRequestBeforeABurstOfBackgroundWork() {
        for (final UrgencyOrder order : UrgencyOrder.values()) {
            final PermitQueue queue = new PermitQueue();
            for (int count = 0; count < 100; count++) {
                queue.enter(order.position(request(OptionalInt.of(STANDARD), BACKGROUND)));
            }
            final PermitQueue.Ticket urgent = queue.enter(order.position(request(OptionalInt.of(STANDARD), URGENT)));
            assertThat(queue.ahead(urgent)).isEqualTo(order == UrgencyOrder.RANK ? 100 : 0);
        }
    }

    @Test
    void shouldReserveTheLargestModelByTheRouteAmongOrganisationsOfStandardRank() {
        for (int routeRank = URGENT; routeRank <= BACKGROUND; routeRank++) {
            final AdmittedRequest request = request(OptionalInt.of(STANDARD), routeRank);
            assertThat(UrgencyOrder.RANK.reservationRank(request)).isEqualTo(STANDARD);
            assertThat(UrgencyOrder.ROUTE_WITHIN_RANK.reservationRank(request)).isEqualTo(routeRank);
        }
    }

    @Property
    void shouldPutTheRankOfTheOrganisationFirst(
            @ForAll @IntRange(max = 2) int rank,
            @ForAll @IntRange(max = 2) int lowerRank,
            @ForAll @IntRange(max = 9) int route,
            @ForAll @IntRange(max = 9) int otherRoute) {
        final AdmittedRequest first = request(OptionalInt.of(Math.min(rank, lowerRank)), route);
        final AdmittedRequest second = request(OptionalInt.of(Math.max(rank, lowerRank) + 1), otherRoute);
        for (final UrgencyOrder order : UrgencyOrder.values()) {
            assertThat(order.position(first)).isLessThan(order.position(second));
        }
    }

    @Property
    void shouldChangeNothingWhereOrganisationsHaveNoRank(
            @ForAll @IntRange(max = 9) int rank, @ForAll @IntRange(max = 9) int otherRank) {
        final AdmittedRequest request = request(NO_RANK, rank);
        assertThat(UrgencyOrder.ROUTE_WITHIN_RANK.within(request)).isEqualTo(0);
        assertThat(UrgencyOrder.ROUTE_WITHIN_RANK.reservationRank(request)).isEqualTo(rank);
        assertThat(UrgencyOrder.ROUTE_WITHIN_RANK.position(request)).isEqualTo(UrgencyOrder.RANK.position(request));
    }

    private static AdmittedRequest request(OptionalInt organisationRank, int routeRank) {
        final Route route = new Route(
                "r",
                "host",
                "/",
                RequestKind.IDEMPOTENT,
                false,
                4_000,
                1_000,
                0,
                routeRank,
                true,
                3,
                List.of(new Route.Target("s", 1)),
                List.of());
        return new AdmittedRequest(
                RoutingTable.of(1, List.of(route), Map.of(), List.of(), RequestLimits.DEFAULT, false),
                route,
                Optional.of(new KeyOwner("north", organisationRank)),
                new InboundRequest(
                        "id",
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        0,
                        OptionalInt.empty(),
                        List.of(),
                        OptionalLong.empty(),
                        Optional.empty()),
                "GET",
                "/",
                Map.of(),
                EmptyBody.create(),
                0);
    }
}
