package org.masticpaddle.gateway;

import java.nio.charset.StandardCharsets;

import org.masticpaddle.control.ControlCodec;
import org.masticpaddle.control.KeyedRecord;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.control.RolloutProgress;
import org.masticpaddle.control.RolloutStatus;
import org.masticpaddle.fleet.Upstream;

/** Encodes a status as space-separated text. */
final class TextControlCodec implements ControlCodec {
    @Override
    public OperatorRecord operatorRecord(KeyedRecord keyed) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Upstream upstream(KeyedRecord keyed) {
        throw new UnsupportedOperationException();
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
