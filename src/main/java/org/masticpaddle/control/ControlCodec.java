package org.masticpaddle.control;

import org.masticpaddle.fleet.Upstream;

/** Encodes and decodes records of the platform's log. Implementations are immutable and thread-safe. */
public interface ControlCodec {
    /**
     * Decodes a record of {@link LogStream#OPERATOR}.
     *
     * @param keyedRecord the record
     * @return the decoded record
     * @throws UndecodableRecordException if the record is malformed or truncated
     */
    OperatorRecord operatorRecord(KeyedRecord keyedRecord);

    /**
     * Decodes a record of {@link LogStream#UPSTREAMS} that has a value.
     *
     * @param keyedRecord the record
     * @return the upstream that the record describes
     * @throws UndecodableRecordException if the record is malformed or identifies no upstream
     */
    Upstream upstream(KeyedRecord keyedRecord);

    /**
     * Returns the upstream that a record of {@link LogStream#UPSTREAMS} belongs to. Does not decode the value.
     *
     * @param keyedRecord the record
     * @return identifier of the upstream
     */
    String upstreamId(KeyedRecord keyedRecord);

    /**
     * Encodes the status of a rollout.
     *
     * @param status status to store under the {@link #rolloutStatusKey} of its service
     * @return value of the record
     */
    byte[] rolloutStatus(RolloutStatus status);

    /**
     * Returns the key under which the status of a rollout is stored.
     *
     * @param service name of the service
     * @return key of the record in {@link LogStream#STATUS}
     */
    String rolloutStatusKey(String service);

    /**
     * Decodes the status of a rollout.
     *
     * @param keyedRecord record of {@link LogStream#STATUS}
     * @return status of the order that the record names, which need not be the current one
     * @throws UndecodableRecordException if the record is malformed
     */
    RolloutStatus rolloutStatus(KeyedRecord keyedRecord);
}
