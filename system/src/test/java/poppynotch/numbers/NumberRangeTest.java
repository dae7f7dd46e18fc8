package poppynotch.numbers;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.math.BigDecimal;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against numbers from outside that become others when they are narrowed. */
class NumberRangeTest {

    private static BigDecimal decimal(String text) {
        return new BigDecimal(text);
    }

    @Test
    void numbersBeyondRangeCountAsItsLargest() {
        assertThat(NumberRange.COUNT.clamp(decimal("2147483648"))).isEqualTo(Integer.MAX_VALUE);
        assertThat(NumberRange.COUNT.clamp(decimal("4294967346"))).isEqualTo(Integer.MAX_VALUE);
        assertThat(NumberRange.TIME_MS.clamp(decimal("9223372036854775808")))
                .isEqualTo(NumberRange.MAX_TIME_MS);
        assertThat(NumberRange.SIZE.clamp(decimal("1e30"))).isGreaterThan(1L << 52);
        assertThat(NumberRange.SIZE.clamp(decimal("9007199254740993")))
                .isEqualTo(NumberRange.SIZE.clamp(decimal("1e30")));
        assertThat(NumberRange.COUNT.clamp(decimal("-1"))).isEqualTo(0);
    }

    @Test
    void roundsTimesUpAndOthersDown() {
        assertThat(NumberRange.TIME_MS.clamp(decimal("0.5"))).isEqualTo(1);
        assertThat(NumberRange.TIME_MS.clamp(decimal("0"))).isEqualTo(0);
        assertThat(NumberRange.SIZE.clamp(decimal("10.9"))).isEqualTo(10);
    }

    /** Such a number must not be written out with all its digits. */
    @Test
    void acceptsNumbersWithHugeExponents() {
        assertThat(NumberRange.TIME_MS.clamp(decimal("1e-999999999"))).isEqualTo(1);
        assertThat(NumberRange.SIZE.clamp(decimal("1e-999999999"))).isEqualTo(0);
        assertThat(NumberRange.SIZE.clamp(decimal("1e999999999"))).isGreaterThan(0);
        assertThat(Amounts.clampAmount(decimal("1e999999999"))).isEqualTo(Amounts.MAX_AMOUNT);
        assertThat(Amounts.clampWeight(decimal("1e400"))).isEqualTo(Amounts.MAX_WEIGHT);
    }

    @Test
    void exactNumberNamesItselfIfInvalid() {
        NumberRange range = NumberRange.of(1, Long.MAX_VALUE);
        assertThat(range.readExact("G", decimal("7.0"))).isEqualTo(7);
        assertThat(range.readExact("G", decimal("9223372036854775807"))).isEqualTo(Long.MAX_VALUE);
        for (String invalid : new String[] {"0", "-1", "0.5", "9223372036854775808", "1e30"}) {
            InvalidNumberException e =
                    assertThrows(
                            InvalidNumberException.class,
                            () -> range.readExact("G", decimal(invalid)));
            assertThat(e).hasMessageThat().startsWith("G is ");
        }
    }

    @Test
    void parsesDigitsOfAnyLength() {
        assertThat(NumberRange.COUNT.parse(" 80 ")).isEqualTo(OptionalLong.of(80));
        assertThat(NumberRange.COUNT.parse("4294967346"))
                .isEqualTo(OptionalLong.of(Integer.MAX_VALUE));
        assertThat(NumberRange.TIME_MS.parse("99999999999999999999"))
                .isEqualTo(OptionalLong.of(NumberRange.MAX_TIME_MS));
        assertThat(NumberRange.COUNT.parse("-99999999999999999999")).isEqualTo(OptionalLong.of(0));
        assertThat(NumberRange.COUNT.parse("1e3")).isEqualTo(OptionalLong.empty());
        assertThat(NumberRange.COUNT.parse("")).isEqualTo(OptionalLong.empty());
    }
}
