package org.masticpaddle.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Syntax of one HTTP/1.1 response (RFC 9112), checked as its bytes arrive: the lines of its head, of its chunks and of its
 * trailer section, and whether it states one extent of its body.
 *
 * <p>Stricter than the RFC demands of recipients: lines end with CRLF and are not folded, a length is one number, and
 * {@code chunked} is the only transfer coding. Keeps one line at most. Not thread-safe.
 */
final class ResponseSyntax {
    private static final byte[] PROTOCOL = bytes("HTTP/1.");
    private static final byte[] CONTENT_LENGTH = bytes("content-length");
    private static final byte[] TRANSFER_ENCODING = bytes("transfer-encoding");
    private static final byte[] CHUNKED = bytes("chunked");
    private static final boolean[] TOKEN = token();

    private static final int LINE_BYTES = 128;
    private static final int MINOR_VERSION_INDEX = 7;
    private static final int STATUS_INDEX = 9;
    private static final int STATUS_END = 12;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final long NOT_STATED = -1;

    private final boolean bodyExpected;
    private byte[] line = new byte[LINE_BYTES];
    private int lineLength;
    private Part part = Part.STATUS_LINE;
    private boolean persistent;
    private int status;
    private long contentLength = NOT_STATED;
    private boolean chunked;
    private long dataBytes;
    private Optional<String> malformation = Optional.empty();

    private enum Part {
        STATUS_LINE,
        HEAD,
        CHUNK_SIZE,
        CHUNK_END,
        TRAILERS,
        DATA,
        END
    }

    /**
     * Expects the first byte of a response.
     *
     * @param method method of its request
     */
    ResponseSyntax(String method) {
        bodyExpected = !"HEAD".equals(Objects.requireNonNull(method, "method is null"));
    }

    /**
     * Checks the next bytes. Replaces an interim status by 100, the only one that Undertow's client does not take for final.
     *
     * @param bytes buffer that holds the bytes, whose position and limit are not used
     * @param start index of the first byte
     * @param end index after the last byte
     * @return number of bytes before the first one that breaks the syntax
     */
    int accept(ByteBuffer bytes, int start, int end) {
        int index = start;
        try {
            while (index < end) {
                if (part == Part.DATA) {
                    index += skipData(end - index);
                } else {
                    check(part != Part.END, "bytes after the end of the response");
                    acceptLineByte(bytes, index);
                    index++;
                }
            }
        } catch (MalformedMessageException e) {
            malformation = Optional.of(e.getMessage());
        }
        return index - start;
    }

    /** Returns whether the bytes have broken the syntax. */
    boolean malformed() {
        return malformation.isPresent();
    }

    /**
     * Throws if the bytes have broken the syntax.
     *
     * @throws IOException with the reason
     */
    void throwIfMalformed() throws IOException {
        if (malformed()) {
            throw new IOException("malformed response: " + malformation.get());
        }
    }

    private int skipData(int available) {
        final int count = (int) Math.min(dataBytes, available);
        dataBytes -= count;
        if (dataBytes == 0) {
            part = chunked ? Part.CHUNK_END : Part.END;
        }
        return count;
    }

    private void acceptLineByte(ByteBuffer bytes, int index) {
        final byte next = bytes.get(index);
        if (next == '\n') {
            check(lineLength > 0 && line[lineLength - 1] == '\r', "a line does not end with CRLF");
            lineLength--;
            onLine();
            lineLength = 0;
            return;
        }
        if (part == Part.STATUS_LINE
                && lineLength > STATUS_INDEX
                && lineLength < STATUS_END
                && line[STATUS_INDEX] == '1') {
            bytes.put(index, (byte) '0');
        }
        if (lineLength == line.length) {
            line = Arrays.copyOf(line, 2 * lineLength);
        }
        line[lineLength++] = next;
    }

    private void onLine() {
        switch (part) {
            case STATUS_LINE -> onStatusLine();
            case HEAD -> {
                if (lineLength == 0) {
                    onHeadEnd();
                } else {
                    onHeadField();
                }
            }
            case CHUNK_SIZE -> onChunkSize();
            case CHUNK_END -> {
                check(lineLength == 0, "a chunk is longer than its size");
                part = Part.CHUNK_SIZE;
            }
            default -> {
                if (lineLength == 0) {
                    part = Part.END;
                } else {
                    fieldNameLength();
                }
            }
        }
    }

    private void onStatusLine() {
        check(lineLength > STATUS_END && startsWith(PROTOCOL), "its first line is no status line");
        final int minorVersion = line[MINOR_VERSION_INDEX] - '0';
        check(minorVersion == 0 || minorVersion == 1, "its protocol version is not supported");
        check(line[STATUS_INDEX - 1] == ' ' && line[STATUS_END] == ' ', "its first line is no status line");
        status = (int) number(STATUS_INDEX, STATUS_END, 10);
        check(status >= 100 && status < 600 && status != SWITCHING_PROTOCOLS, "its status is invalid");
        checkText(STATUS_END);
        persistent = minorVersion == 1;
        part = Part.HEAD;
    }

    private void onHeadField() {
        final int nameLength = fieldNameLength();
        if (nameLength == CONTENT_LENGTH.length && matches(CONTENT_LENGTH, 0)) {
            final long stated = number(valueStart(nameLength), valueEnd(), 10);
            check(contentLength == NOT_STATED || contentLength == stated, "its lengths differ");
            contentLength = stated;
        } else if (nameLength == TRANSFER_ENCODING.length && matches(TRANSFER_ENCODING, 0)) {
            final int start = valueStart(nameLength);
            check(!chunked, "its transfer coding is stated twice");
            check(
                    valueEnd() - start == CHUNKED.length && matches(CHUNKED, start),
                    "its transfer coding is not supported");
            chunked = true;
        }
    }

    private void onHeadEnd() {
        if (status < FIRST_FINAL_STATUS) {
            contentLength = NOT_STATED;
            chunked = false;
            part = Part.STATUS_LINE;
            return;
        }
        check(!chunked || contentLength == NOT_STATED, "it states both a length and a transfer coding");
        check(!chunked || persistent, "a transfer coding in HTTP/1.0");
        check(status != NO_CONTENT || !chunked && contentLength <= 0, "a body with status " + NO_CONTENT);
        if (!bodyExpected || status == NO_CONTENT || status == NOT_MODIFIED || contentLength == 0) {
            part = Part.END;
        } else if (chunked) {
            part = Part.CHUNK_SIZE;
        } else {
            // Without a length, the body ends with the connection.
            dataBytes = contentLength == NOT_STATED ? Long.MAX_VALUE : contentLength;
            part = Part.DATA;
        }
    }

    /** Accepts the size of a chunk and its extensions. */
    private void onChunkSize() {
        int end = 0;
        while (end < lineLength && Character.digit(line[end], 16) >= 0) {
            end++;
        }
        dataBytes = number(0, end, 16);
        final int extension = skipBlanks(end);
        check(
                end == lineLength || extension < lineLength && line[extension] == ';',
                "the size of a chunk is malformed");
        checkText(end);
        part = dataBytes == 0 ? Part.TRAILERS : Part.DATA;
    }

    /** Returns the length of the name of the field that the line holds. */
    private int fieldNameLength() {
        int length = 0;
        while (length < lineLength && line[length] > 0 && TOKEN[line[length]]) {
            length++;
        }
        check(length > 0 && length < lineLength && line[length] == ':', "a line is no field");
        checkText(length);
        return length;
    }

    private void checkText(int start) {
        for (int index = start; index < lineLength; index++) {
            final byte next = line[index];
            check(next >= ' ' && next != 0x7f || next < 0 || next == '\t', "a line holds a control character");
        }
    }

    private int valueStart(int nameLength) {
        return skipBlanks(nameLength + 1);
    }

    private int valueEnd() {
        int end = lineLength;
        while (isBlank(line[end - 1])) {
            end--;
        }
        return end;
    }

    private int skipBlanks(int start) {
        int index = start;
        while (index < lineLength && isBlank(line[index])) {
            index++;
        }
        return index;
    }

    private static boolean isBlank(byte next) {
        return next == ' ' || next == '\t';
    }

    /** Returns a number without a sign. */
    private long number(int start, int end, int radix) {
        check(start < end, "a number is missing");
        long number = 0;
        for (int index = start; index < end; index++) {
            final int digit = Character.digit(line[index], radix);
            check(digit >= 0, "a number is malformed");
            check(number <= (Long.MAX_VALUE - digit) / radix, "a number is out of range");
            number = radix * number + digit;
        }
        return number;
    }

    private boolean startsWith(byte[] prefix) {
        return Arrays.equals(line, 0, prefix.length, prefix, 0, prefix.length);
    }

    /** Returns whether lower-case letters and hyphens match the line, in letters of any case. */
    private boolean matches(byte[] lowerCase, int start) {
        for (int index = 0; index < lowerCase.length; index++) {
            if ((line[start + index] | 0x20) != lowerCase[index]) {
                return false;
            }
        }
        return true;
    }

    private static boolean[] token() {
        final boolean[] token = new boolean[128];
        for (char next = 0; next < token.length; next++) {
            token[next] = next >= '0' && next <= '9'
                    || next >= 'A' && next <= 'Z'
                    || next >= 'a' && next <= 'z'
                    || "!#$%&'*+-.^_`|~".indexOf(next) >= 0;
        }
        return token;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static void check(boolean valid, String malformation) {
        if (!valid) {
            throw new MalformedMessageException(malformation, null);
        }
    }
}
