package lab2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Head of an HTTP message, and helpers that read and write messages on sockets. Immutable. */
public record Request(String startLine, Map<String, String> headers) {
    /** Reads a head; returns null if the peer has closed the connection before its first byte. */
    public static Request readHead(InputStream in) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        final Map<String, String> headers = new LinkedHashMap<>();
        String start = null;
        while (true) {
            final int next = in.read();
            if (next < 0) {
                if (start == null && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the head ends early");
            }
            if (next != '\n') {
                line.write(next);
                continue;
            }
            String text = line.toString(StandardCharsets.ISO_8859_1);
            line.reset();
            if (text.endsWith("\r")) {
                text = text.substring(0, text.length() - 1);
            }
            if (start == null) {
                start = text;
            } else if (text.isEmpty()) {
                return new Request(start, headers);
            } else {
                final int colon = text.indexOf(':');
                headers.put(text.substring(0, colon).toLowerCase(Locale.ROOT), text.substring(colon + 1).trim());
            }
        }
    }

    public String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    public String method() {
        return startLine.split(" ")[0];
    }

    public String target() {
        return startLine.split(" ")[1];
    }

    /** Status of a response. */
    public int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Reads the whole body of a message with a length or in chunks, or up to the end of the connection for a response. */
    public byte[] readBody(InputStream in, boolean response) throws IOException {
        if (header("transfer-encoding").equalsIgnoreCase("chunked")) {
            final ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                final int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!readLine(in).isEmpty()) {
                        // Trailers are skipped.
                    }
                    return body.toByteArray();
                }
                body.write(readExactly(in, size));
                readLine(in);
            }
        }
        if (!header("content-length").isEmpty()) {
            return readExactly(in, Integer.parseInt(header("content-length")));
        }
        return response ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        final byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body ends early");
        }
        return bytes;
    }

    static String readLine(InputStream in) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the line ends early");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
