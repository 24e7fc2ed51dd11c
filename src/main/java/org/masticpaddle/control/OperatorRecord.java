package org.masticpaddle.control;

import java.time.Duration;
import java.util.Objects;

import org.masticpaddle.routes.RoutingTable;

/** What the operator wrote. */
public sealed interface OperatorRecord {
    /**
     * A configuration.
     *
     * @param table the configuration in full
     */
    record Configuration(RoutingTable table) implements OperatorRecord {
        /** Checks the argument. */
        public Configuration {
            Objects.requireNonNull(table, "table is null");
        }
    }

    /**
     * An order to move a service to a version.
     *
     * @param service name of the service
     * @param version version to move to
     * @param timeLimit time in which the move is to be done
     */
    record RolloutOrder(String service, String version, Duration timeLimit) implements OperatorRecord {
        /** Checks the arguments. */
        public RolloutOrder {
            Objects.requireNonNull(service, "service is null");
            Objects.requireNonNull(version, "version is null");
            Objects.requireNonNull(timeLimit, "within is null");
        }
    }

    /**
     * The withdrawal of an order.
     *
     * @param service name of the service
     */
    record RolloutWithdrawn(String service) implements OperatorRecord {
        /** Checks the argument. */
        public RolloutWithdrawn {
            Objects.requireNonNull(service, "service is null");
        }
    }

    /**
     * A record of a kind that gateways do not use.
     *
     * @param key its key
     */
    record Unused(String key) implements OperatorRecord {
        /** Checks the argument. */
        public Unused {
            Objects.requireNonNull(key, "key is null");
        }
    }
}
