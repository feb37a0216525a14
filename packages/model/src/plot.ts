import * as d3Array from "d3-array";
import * as d3Scale from "d3-scale";
import * as policies from "./policies.js";
import type * as tables from "./table.js";

const WIDTH = 920;
const HEIGHT = 300;
const MARGIN = 48;
const PANEL_GAP = 36;
const BAR_PADDING = 0.15;
const COLORS: Readonly<Record<policies.PolicyName, string>> = {
    [policies.PolicyName.Citronlead]: "#3b6ea8",
    [policies.PolicyName.RoundRobin]: "#c98a2b",
    [policies.PolicyName.LeastLoad]: "#8a8a8a",
};

interface Panel {
    readonly title: string;
    readonly value: (row: tables.Row) => number;
}

const PANELS: readonly Panel[] = [
    { title: "goodput over ideal", value: (row) => row.goodOverIdeal },
    { title: "prefill wasted", value: (row) => row.wasted },
    { title: "worst workspace over fair share", value: (row) => row.worstShare },
    { title: "refused within rate", value: (row) => row.refusedWithinRate / Math.max(1, row.withinRate) },
];

/** Draws the four panels of a scenario, with a bar for each policy and deployment, as an SVG image. */
export function drawScenario(scenario: string, rows: readonly tables.Row[], caption: string): string {
    const width = (WIDTH - 2 * MARGIN - PANEL_GAP * (PANELS.length - 1)) / PANELS.length;
    const panels = PANELS.map((panel, index) => drawPanel(panel, rows, MARGIN + index * (width + PANEL_GAP), width));
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" `
        + `font-size="11">`,
        `<rect width="100%" height="100%" fill="white"/>`,
        text(MARGIN, 18, "start", `${scenario} (${caption})`),
        ...drawLegend(),
        ...panels,
        "</svg>\n",
    ].join("\n");
}

function text(x: number, y: number, anchor: string, content: string): string {
    return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}">${content}</text>`;
}

function drawLegend(): string[] {
    return Object.values(policies.PolicyName).flatMap((policy, index) => {
        const x = MARGIN + index * 130;
        return [
            `<rect x="${x}" y="${HEIGHT - 20}" width="10" height="10" fill="${COLORS[policy]}"/>`,
            text(x + 15, HEIGHT - 11, "start", policy),
        ];
    });
}

function drawPanel(panel: Panel, rows: readonly tables.Row[], left: number, width: number): string {
    const highest = Math.max(1, d3Array.max(rows, panel.value) ?? 1);
    const fleets = [...new Set(rows.map((row) => row.fleet))];
    const vertical = d3Scale.scaleLinear().domain([0, highest]).range([HEIGHT - 60, 50]);
    const outer = d3Scale.scaleBand().domain(fleets).range([left, left + width]).padding(BAR_PADDING);
    const inner = d3Scale.scaleBand().domain(Object.values(policies.PolicyName)).range([0, outer.bandwidth()]);
    const bars = rows.map((row) => {
        const x = (outer(row.fleet) ?? 0) + (inner(row.policy) ?? 0);
        const y = vertical(panel.value(row));
        return `<rect x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${(inner.bandwidth() - 1).toFixed(1)}" `
            + `height="${(vertical(0) - y).toFixed(1)}" fill="${COLORS[row.policy]}"/>`;
    });
    const ticks = vertical.ticks(4).flatMap((tick) => [
        `<line x1="${left}" x2="${left + width}" y1="${vertical(tick)}" y2="${vertical(tick)}" stroke="#ddd"/>`,
        text(left - 4, vertical(tick) + 4, "end", String(tick)),
    ]);
    const labels = fleets.map((fleet) =>
        text((outer(fleet) ?? 0) + outer.bandwidth() / 2, HEIGHT - 45, "middle", fleet)
    );
    return [text(left, 40, "start", panel.title), ...ticks, ...bars, ...labels].join("\n");
}
