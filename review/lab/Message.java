import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Head of an HTTP/1.1 message, and functions that read its parts. Immutable after reading. */
final class Message {
    final String startLine;
    final Map<String, String> headers;

    private Message(String startLine, Map<String, String> headers) {
        this.startLine = startLine;
        this.headers = headers;
    }

    /** Reads a head; returns null at a regular end of the connection before its first byte. */
    static Message read(InputStream in) throws IOException {
        final String first = line(in, true);
        if (first == null) {
            return null;
        }
        final Map<String, String> headers = new TreeMap<>();
        for (String text = line(in, false); !text.isEmpty(); text = line(in, false)) {
            final int colon = text.indexOf(':');
            headers.put(text.substring(0, colon).trim().toLowerCase(Locale.ROOT), text.substring(colon + 1).trim());
        }
        return new Message(first, headers);
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    /** Reads the whole body; throws if it ends early. A message without a length ends with its connection if that is allowed. */
    byte[] body(InputStream in, boolean untilEnd) throws IOException {
        if (header("transfer-encoding").equalsIgnoreCase("chunked")) {
            final ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
                body.writeBytes(chunk);
            }
            return body.toByteArray();
        }
        if (headers.containsKey("content-length")) {
            return exactly(in, Integer.parseInt(header("content-length")));
        }
        return untilEnd ? in.readAllBytes() : new byte[0];
    }

    /** Reads one chunk; the last one is empty. */
    static byte[] chunk(InputStream in) throws IOException {
        final int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
        final byte[] chunk = exactly(in, size);
        line(in, false);
        return chunk;
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        final byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body ends early");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean endAllowed) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) {
                if (endAllowed && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the head ends early");
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1);
            }
            if (next != '\r') {
                line.write(next);
            }
        }
    }
}
