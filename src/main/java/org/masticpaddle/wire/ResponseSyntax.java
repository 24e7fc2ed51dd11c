package org.masticpaddle.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Syntax of one HTTP/1.1 response (RFC 9112), checked as its bytes arrive: the lines of its head.
 *
 * <p>Stricter than the RFC demands of recipients: lines end with CRLF and are not folded. Keeps one line at most. Not
 * thread-safe.
 */
final class ResponseSyntax {
    private static final byte[] PROTOCOL = bytes("HTTP/1.");
    private static final boolean[] TOKEN = token();

    private static final int LINE_BYTES = 128;
    private static final int MINOR_VERSION_INDEX = 7;
    private static final int STATUS_INDEX = 9;
    private static final int STATUS_END = 12;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int FIRST_FINAL_STATUS = 200;

    private byte[] line = new byte[LINE_BYTES];
    private int lineLength;
    private Part part = Part.STATUS_LINE;
    private int status;
    private Optional<String> malformation = Optional.empty();

    private enum Part {
        STATUS_LINE,
        HEAD,
        BODY
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
            while (index < end && part != Part.BODY) {
                acceptLineByte(bytes, index);
                index++;
            }
        } catch (MalformedMessageException e) {
            malformation = Optional.of(e.getMessage());
            return index - start;
        }
        return end - start;
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
        if (part == Part.STATUS_LINE) {
            onStatusLine();
        } else if (lineLength > 0) {
            checkField();
        } else {
            part = status < FIRST_FINAL_STATUS ? Part.STATUS_LINE : Part.BODY;
        }
    }

    private void onStatusLine() {
        check(lineLength > STATUS_END && startsWith(PROTOCOL), "its first line is no status line");
        final int minorVersion = line[MINOR_VERSION_INDEX] - '0';
        check(minorVersion == 0 || minorVersion == 1, "its protocol version is not supported");
        check(line[STATUS_INDEX - 1] == ' ' && line[STATUS_END] == ' ', "its first line is no status line");
        status = number(STATUS_INDEX, STATUS_END);
        check(status >= 100 && status < 600 && status != SWITCHING_PROTOCOLS, "its status is invalid");
        checkText(STATUS_END);
        part = Part.HEAD;
    }

    private void checkField() {
        int length = 0;
        while (length < lineLength && line[length] > 0 && TOKEN[line[length]]) {
            length++;
        }
        check(length > 0 && length < lineLength && line[length] == ':', "a line is no field");
        checkText(length);
    }

    private void checkText(int start) {
        for (int index = start; index < lineLength; index++) {
            final byte next = line[index];
            check(next >= ' ' && next != 0x7f || next < 0 || next == '\t', "a line holds a control character");
        }
    }

    /** Returns a number without a sign. */
    private int number(int start, int end) {
        int number = 0;
        for (int index = start; index < end; index++) {
            final int digit = Character.digit(line[index], 10);
            check(digit >= 0, "a number is malformed");
            number = 10 * number + digit;
        }
        return number;
    }

    private boolean startsWith(byte[] prefix) {
        return Arrays.equals(line, 0, prefix.length, prefix, 0, prefix.length);
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
