/**
 * The terminal console: what is shown and what keys do is decided in {@code View}, {@code Desk} and
 * {@code Screen}, which know no terminal; {@code Console} is the terminal.
 */
package cypressglade.console;
