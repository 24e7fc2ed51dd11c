package org.masticpaddle.gateway;

import java.net.URI;
import java.nio.charset.StandardCharsets;

import org.masticpaddle.control.ControlCodec;
import org.masticpaddle.control.KeyedRecord;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.control.RolloutProgress;
import org.masticpaddle.control.RolloutStatus;
import org.masticpaddle.fleet.Upstream;

/**
 * Encodes records as text. The key of an operator's record is the failure domain that it evacuates, the value of an upstream is
 * its failure domain, followed by "draining" if it drains.
 */
final class TextControlCodec implements ControlCodec {
    @Override
    public OperatorRecord operatorRecord(KeyedRecord keyed) {
        return keyed.tombstone()
                ? new OperatorRecord.EvacuationWithdrawn(keyed.key())
                : new OperatorRecord.EvacuationOrder(keyed.key());
    }

    @Override
    public Upstream upstream(KeyedRecord keyed) {
        final String[] fields = new String(keyed.value(), StandardCharsets.UTF_8).split(" ");
        return new Upstream(
                keyed.key(),
                "s",
                URI.create("http://" + keyed.key() + ":1"),
                fields[0],
                "v1",
                8,
                fields.length > 1,
                1,
                0);
    }

    @Override
    public String upstreamId(KeyedRecord keyed) {
        return keyed.key();
    }

    @Override
    public byte[] rolloutStatus(RolloutStatus status) {
        return (status.service() + " " + status.version() + " " + status.order() + " " + status.progress())
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String rolloutStatusKey(String service) {
        return service;
    }

    @Override
    public RolloutStatus rolloutStatus(KeyedRecord keyed) {
        final String[] fields = new String(keyed.value(), StandardCharsets.UTF_8).split(" ");
        return new RolloutStatus(fields[0], fields[1], Long.parseLong(fields[2]), RolloutProgress.valueOf(fields[3]));
    }
}
