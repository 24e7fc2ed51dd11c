package org.masticpaddle.control;

import org.masticpaddle.fleet.Upstream;

/** Translates records of the platform's log. Implementations are immutable and thread-safe. */
public interface ControlCodec {
    /**
     * Decodes a record of {@link LogStream#OPERATOR}.
     *
     * @param keyed the record
     * @return what it says
     * @throws UndecodableRecordException if it cannot be read or is not a whole message
     */
    OperatorRecord operatorRecord(KeyedRecord keyed);

    /**
     * Decodes a record of {@link LogStream#UPSTREAMS} that has a value.
     *
     * @param keyed the record
     * @return the upstream it names
     * @throws UndecodableRecordException if it cannot be read or names no upstream
     */
    Upstream upstream(KeyedRecord keyed);

    /**
     * Names the upstream to which a record of {@link LogStream#UPSTREAMS} belongs.
     *
     * @param keyed the record
     * @return identifier of the upstream
     */
    String upstreamId(KeyedRecord keyed);

    /**
     * Encodes the status of a roll-out.
     *
     * @param status the status
     * @return the record's value
     */
    byte[] rolloutStatus(RolloutStatus status);

    /**
     * Names the record of a roll-out's status.
     *
     * @param service name of the service
     * @return key in {@link LogStream#STATUS}
     */
    String rolloutStatusKey(String service);

    /**
     * Decodes the status of a roll-out.
     *
     * @param keyed record of {@link LogStream#STATUS}
     * @return the status
     * @throws UndecodableRecordException if it cannot be read
     */
    RolloutStatus rolloutStatus(KeyedRecord keyed);
}
