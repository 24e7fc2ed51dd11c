package org.masticpaddle.document;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/** Typed access to the values of one section. Reports a bad value and goes on with the fallback. Used by one thread. */
final class SectionValues {
    // Plain decimals only: Double.parseDouble also takes NaN, Infinity and hexadecimal numbers.
    private static final Pattern NUMBER = Pattern.compile("-?\\d{1,15}(\\.\\d{1,9})?");
    private static final Pattern WHOLE = Pattern.compile("-?\\d{1,15}");

    private final Section section;
    private final Consumer<Problem> problems;

    SectionValues(Section section, Consumer<Problem> problems) {
        this.section = section;
        this.problems = problems;
    }

    void report(Problem.Kind kind, String key, String expected, String found, String nearest) {
        problems.accept(section.problem(kind, key, expected, found, nearest));
    }

    void bad(String key, String expected) {
        report(
                Problem.Kind.BAD_VALUE,
                key,
                expected,
                LineScan.quote(section.values().get(key)),
                "");
    }

    Optional<String> text(String key) {
        return Optional.ofNullable(section.values().get(key)).filter(value -> !value.isEmpty());
    }

    String required(String key, String expected) {
        final Optional<String> value = text(key);
        if (value.isEmpty()) {
            report(Problem.Kind.MISSING_KEY, key, expected, "no value", "");
        }
        return value.orElse("");
    }

    List<String> list(String key) {
        return text(key)
                .map(value ->
                        Arrays.stream(value.split(",", -1)).map(String::trim).toList())
                .orElse(List.of());
    }

    double number(String key, double fallback, double low, double high) {
        final String value = section.values().get(key);
        if (value == null) {
            return fallback;
        }
        final double number = NUMBER.matcher(value).matches() ? Double.parseDouble(value) : Double.NaN;
        if (number >= low && number <= high) {
            return number;
        }
        bad(key, "a number " + range(low, high));
        return fallback;
    }

    double share(String key, double fallback) {
        final String value = section.values().get(key);
        if (value == null) {
            return fallback;
        }
        final OptionalDouble share = share(value);
        if (share.isEmpty()) {
            bad(key, "a share from 0 to 1, or from 0% to 100%");
        }
        return share.orElse(fallback);
    }

    static OptionalDouble share(String value) {
        final boolean percent = value.endsWith("%");
        final String digits = percent ? value.substring(0, value.length() - 1).trim() : value;
        if (!NUMBER.matcher(digits).matches()) {
            return OptionalDouble.empty();
        }
        final double share = Double.parseDouble(digits) / (percent ? 100 : 1);
        return share >= 0 && share <= 1 ? OptionalDouble.of(share) : OptionalDouble.empty();
    }

    long whole(String key, long fallback, long low) {
        final String value = section.values().get(key);
        if (value == null) {
            return fallback;
        }
        if (WHOLE.matcher(value).matches() && Long.parseLong(value) >= low) {
            return Long.parseLong(value);
        }
        bad(key, "a whole number " + range(low, Double.POSITIVE_INFINITY));
        return fallback;
    }

    long requiredWhole(String key, long low) {
        required(key, "a whole number " + range(low, Double.POSITIVE_INFINITY));
        return text(key).isEmpty() ? low : whole(key, low, low);
    }

    boolean flag(String key) {
        final Optional<String> value = text(key);
        if (value.isPresent() && !List.of("yes", "no").contains(value.get())) {
            bad(key, "yes or no");
        }
        return value.filter("yes"::equals).isPresent();
    }

    <E extends Enum<E>> E choice(String key, E fallback) {
        final List<E> choices = List.of(fallback.getDeclaringClass().getEnumConstants());
        final Optional<String> value = text(key);
        final Optional<E> chosen = value.flatMap(text ->
                choices.stream().filter(choice -> label(choice).equals(text)).findFirst());
        if (value.isPresent() && chosen.isEmpty()) {
            final List<String> labels = choices.stream().map(SectionValues::label).toList();
            final String nearest = NearestName.of(value.get(), labels);
            report(Problem.Kind.BAD_VALUE, key, String.join(" or ", labels), LineScan.quote(value.get()), nearest);
        }
        return chosen.orElse(fallback);
    }

    private static String label(Enum<?> choice) {
        return choice.name().toLowerCase(Locale.ROOT);
    }

    private static String range(double low, double high) {
        return Double.isInfinite(high) ? "of at least " + plain(low) : "from " + plain(low) + " to " + plain(high);
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
