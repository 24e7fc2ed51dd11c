package org.masticpaddle.control;

import java.time.Duration;
import java.util.Objects;

import org.masticpaddle.routes.RoutingTable;

/** Decoded record of {@link LogStream#OPERATOR}. Immutable and thread-safe. */
public sealed interface OperatorRecord {
    /**
     * The complete configuration; replaces any earlier one.
     *
     * @param table the configuration
     */
    record Configuration(RoutingTable table) implements OperatorRecord {
        /** Rejects a null argument. */
        public Configuration {
            Objects.requireNonNull(table, "table is null");
        }
    }

    /**
     * An order to roll a service out to a version.
     *
     * @param service name of the service
     * @param version target version
     * @param timeLimit time within which the rollout must complete
     */
    record RolloutOrder(String service, String version, Duration timeLimit) implements OperatorRecord {
        /** Rejects null arguments. */
        public RolloutOrder {
            Objects.requireNonNull(service, "service is null");
            Objects.requireNonNull(version, "version is null");
            Objects.requireNonNull(timeLimit, "timeLimit is null");
        }
    }

    /**
     * The withdrawal of a rollout order.
     *
     * @param service name of the service
     */
    record RolloutWithdrawn(String service) implements OperatorRecord {
        /** Rejects a null argument. */
        public RolloutWithdrawn {
            Objects.requireNonNull(service, "service is null");
        }
    }

    /**
     * An order to evacuate a failure domain: no request is sent to its upstreams until the order is withdrawn.
     *
     * @param failureDomain name of the failure domain, not empty
     */
    record EvacuationOrder(String failureDomain) implements OperatorRecord {
        /** Rejects a null argument. */
        public EvacuationOrder {
            Objects.requireNonNull(failureDomain, "failureDomain is null");
        }
    }

    /**
     * The withdrawal of an order to evacuate a failure domain.
     *
     * @param failureDomain name of the failure domain, not empty
     */
    record EvacuationWithdrawn(String failureDomain) implements OperatorRecord {
        /** Rejects a null argument. */
        public EvacuationWithdrawn {
            Objects.requireNonNull(failureDomain, "failureDomain is null");
        }
    }

    /**
     * A record of a kind that gateways do not use.
     *
     * @param key key of the record
     */
    record Unused(String key) implements OperatorRecord {
        /** Rejects a null argument. */
        public Unused {
            Objects.requireNonNull(key, "key is null");
        }
    }
}
