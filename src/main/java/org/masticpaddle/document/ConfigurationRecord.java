package org.masticpaddle.document;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.masticpaddle.wire.Json;
import org.masticpaddle.wire.MalformedMessageException;

/**
 * Record of the log stream {@code configuration}, encoded as JSON with a {@code type} field. Immutable and thread-safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Edit.class, name = "edit"),
    @JsonSubTypes.Type(value = Snapshot.class, name = "snapshot")
})
public sealed interface ConfigurationRecord permits Edit, Snapshot {
    /** Name of the log stream. */
    String STREAM = "configuration";

    /**
     * Encodes the record.
     *
     * @return UTF-8 JSON
     */
    default byte[] encode() {
        return Json.encode(this);
    }

    /**
     * Decodes a record.
     *
     * @param data content of a log record
     * @return the record, empty if the data cannot be decoded
     */
    static Optional<ConfigurationRecord> decode(byte[] data) {
        try {
            return Optional.of(Json.decode(data, ConfigurationRecord.class));
        } catch (MalformedMessageException e) {
            return Optional.empty();
        }
    }
}
