package org.masticpaddle.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Splits a byte stream of server-sent events into complete events, each with its trailing blank line.
 *
 * <p>Invariant: the bytes of all events followed by {@link #remainder()} equal the bytes received. Not thread-safe: each
 * stream has its own instance.
 */
final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    /** Largest size of an event whose space is used again. */
    private static final int MAX_KEPT_BYTES = 16 * 1024;
    /** Maximum number of digits of an event identifier, so that it cannot overflow a {@code long}. */
    private static final int MAX_ID_DIGITS = 18;

    private final Consumer<Event> receiver;
    private ByteArrayOutputStream currentEvent = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    EventSplitter(Consumer<Event> receiver) {
        this.receiver = Objects.requireNonNull(receiver, "receiver is null");
    }

    void accept(byte[] bytes) {
        int from = 0;
        for (int index = 0; index < bytes.length; index++) {
            final byte nextByte = bytes[index];
            if (nextByte == '\n') {
                if (lineEmpty) {
                    currentEvent.write(bytes, from, index + 1 - from);
                    from = index + 1;
                    emitEvent();
                }
                lineEmpty = true;
            } else if (nextByte != '\r') {
                lineEmpty = false;
            }
        }
        currentEvent.write(bytes, from, bytes.length - from);
    }

    /** Returns the number of bytes after the last complete event. */
    int remainderBytes() {
        return currentEvent.size();
    }

    /** Returns the bytes after the last complete event. */
    byte[] remainder() {
        return currentEvent.toByteArray();
    }

    private void emitEvent() {
        final byte[] event = currentEvent.toByteArray();
        currentEvent = emptied(currentEvent);
        receiver.accept(new Event(event, parseId(event)));
    }

    /**
     * Empties a buffer, without keeping the space of a large event.
     *
     * @param buffer buffer whose bytes were taken
     * @return the same buffer, or a new one
     */
    static ByteArrayOutputStream emptied(ByteArrayOutputStream buffer) {
        if (buffer.size() > MAX_KEPT_BYTES) {
            return new ByteArrayOutputStream();
        }
        buffer.reset();
        return buffer;
    }

    private static OptionalLong parseId(byte[] event) {
        int line = 0;
        while (line < event.length) {
            if (startsWith(event, line, ID_FIELD)) {
                return parseNumber(event, line + ID_FIELD.length);
            }
            while (line < event.length && event[line] != '\n') {
                line++;
            }
            line++;
        }
        return OptionalLong.empty();
    }

    private static boolean startsWith(byte[] event, int from, byte[] prefix) {
        return from + prefix.length <= event.length
                && Arrays.equals(event, from, from + prefix.length, prefix, 0, prefix.length);
    }

    /** Parses the rest of a line as a decimal number surrounded by blanks; returns empty if it is anything else. */
    private static OptionalLong parseNumber(byte[] event, int from) {
        int index = from;
        while (index < event.length && isBlank(event[index])) {
            index++;
        }
        long number = 0;
        int digits = 0;
        while (index < event.length && event[index] >= '0' && event[index] <= '9' && digits < MAX_ID_DIGITS) {
            number = number * 10 + event[index] - '0';
            index++;
            digits++;
        }
        while (index < event.length && isBlank(event[index])) {
            index++;
        }
        final boolean lineEnds = index < event.length && (event[index] == '\n' || event[index] == '\r');
        return digits > 0 && lineEnds ? OptionalLong.of(number) : OptionalLong.empty();
    }

    private static boolean isBlank(byte value) {
        return value == ' ' || value == '\t';
    }

    /**
     * A complete event.
     *
     * @param bytes all bytes of the event, with its trailing blank line
     * @param id number in its id field, empty if it has none or the field is not a number
     */
    record Event(byte[] bytes, OptionalLong id) {}
}
