package org.masticpaddle.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
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
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    /** Digits of the largest power of ten below the largest long number. */
    private static final int MAX_DIGITS = 18;

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
        int line = 0;
        while (line < event.length) {
            if (startsWith(event, line, ID_FIELD)) {
                return number(event, line + ID_FIELD.length);
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

    /** Reads the number that makes up the rest of a line but for blanks; anything else is no number. */
    private static OptionalLong number(byte[] event, int from) {
        int index = from;
        while (index < event.length && isBlank(event[index])) {
            index++;
        }
        long number = 0;
        int digits = 0;
        while (index < event.length && event[index] >= '0' && event[index] <= '9' && digits < MAX_DIGITS) {
            number = number * 10 + event[index] - '0';
            index++;
            digits++;
        }
        while (index < event.length && isBlank(event[index])) {
            index++;
        }
        final boolean ends = index < event.length && (event[index] == '\n' || event[index] == '\r');
        return digits > 0 && ends ? OptionalLong.of(number) : OptionalLong.empty();
    }

    private static boolean isBlank(byte value) {
        return value == ' ' || value == '\t';
    }

    /**
     * One event.
     *
     * @param bytes all of its bytes
     * @param id its number, if it has one
     */
    record Event(byte[] bytes, OptionalLong id) {}
}
