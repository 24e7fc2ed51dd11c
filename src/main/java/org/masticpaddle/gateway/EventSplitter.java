package org.masticpaddle.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Splits a stream of bytes into whole events, each with its trailing blank line.
 *
 * <p>Invariant: the bytes of the events and of {@link #remainder()}, one after the other, are the bytes that came in. Not
 * thread-safe: one stream uses one instance.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private final Consumer<Event> receiver;
    private final ByteArrayOutputStream current = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    EventSplitter(Consumer<Event> receiver) {
        this.receiver = Objects.requireNonNull(receiver, "receiver is null");
    }

    void accept(byte[] bytes) {
        int from = 0;
        for (int index = 0; index < bytes.length; index++) {
            final byte value = bytes[index];
            if (value == '\n') {
                if (lineEmpty) {
                    current.write(bytes, from, index + 1 - from);
                    from = index + 1;
                    finish();
                }
                lineEmpty = true;
            } else if (value != '\r') {
                lineEmpty = false;
            }
        }
        current.write(bytes, from, bytes.length - from);
    }

    byte[] remainder() {
        return current.toByteArray();
    }

    private void finish() {
        final byte[] event = current.toByteArray();
        current.reset();
        receiver.accept(new Event(event, id(event)));
    }

    private static OptionalLong id(byte[] event) {
        for (final String line : new String(event, StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                try {
                    return OptionalLong.of(
                            Long.parseLong(line.substring(ID_FIELD.length()).trim()));
                } catch (NumberFormatException e) {
                    return OptionalLong.empty();
                }
            }
        }
        return OptionalLong.empty();
    }

    /**
     * One event.
     *
     * @param bytes all of its bytes
     * @param id its number, if it has one
     */
    record Event(byte[] bytes, OptionalLong id) {}
}
