package org.masticpaddle.settings;

import java.util.regex.Pattern;

/** Form of the value of a {@link Setting}. */
enum SettingType {
    /** Text without blanks. */
    NAME("a name without blanks", "\\S*"),
    /** Whole number. */
    WHOLE("a whole number of at least 0", "\\d{1,9}"),
    /** Whole number above 0. */
    POSITIVE("a whole number of at least 1", "0*[1-9]\\d{0,8}"),
    /** Number between 0 and 1. */
    SHARE("a number from 0 to 1", "0(\\.\\d{1,9})?|1(\\.0{1,9})?"),
    /** Number of at least 0. */
    DECIMAL("a number of at least 0", "\\d{1,9}(\\.\\d{1,9})?"),
    /** Origin of an HTTP server. */
    ORIGIN("an origin, for example http://127.0.0.1:8080", "(http://[A-Za-z0-9.:\\[\\]-]+:\\d{1,5})?"),
    /** Comma-separated list. */
    LIST("a list separated by commas", ".*"),
    /** Role of a process. */
    ROLE("entry, sidecar or gateway", "entry|sidecar|gateway"),
    /** Kind of upstream. */
    KIND("engine or plain", "engine|plain");

    private final String expected;
    private final Pattern pattern;

    SettingType(String expected, String pattern) {
        this.expected = expected;
        this.pattern = Pattern.compile(pattern);
    }

    String expected() {
        return expected;
    }

    boolean accepts(String value) {
        return pattern.matcher(value).matches();
    }
}
