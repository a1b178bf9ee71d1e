"""The HTML page that compares policies in experiments."""

import html.parser
import pathlib

import pytest

from wigeonspool.load import main
from wigeonspool.load import report

FOLDER = pathlib.Path(__file__).parent.parent / "experiments"
SHORT_RUN = ["seconds=2", "warmup_seconds=0", "policies=[policy, random]"]


class PageParser(html.parser.HTMLParser):
    """Collects headings, table cells and the number of plots of a page."""

    def __init__(self) -> None:
        super().__init__()
        self.text: dict[str, list[str]] = {"h2": [], "td": []}
        self.plots = 0
        self.open_tag = ""

    def handle_starttag(self, tag: str, attrs: object) -> None:
        self.plots += tag == "svg"
        self.open_tag = tag

    def handle_endtag(self, tag: str) -> None:
        self.open_tag = ""

    def handle_data(self, data: str) -> None:
        if self.open_tag in self.text:
            self.text[self.open_tag].append(data)


class TestReport:
    def test_page_shows_the_results_of_all_experiments(
        self, tmp_path: pathlib.Path
    ) -> None:
        out = tmp_path / "page.html"
        files = [FOLDER / "head-of-line.yaml", FOLDER / "slow.yaml"]
        main.report(files, out=out, seed=3, set_=SHORT_RUN)
        page = PageParser()
        page.feed(out.read_text())
        assert page.text["h2"] == ["head-of-line (seed 3)", "slow (seed 3)"]
        assert page.plots == 2
        cells = page.text["td"]
        assert cells.count("policy") == cells.count("random")
        assert cells.count("policy") >= 3

    def test_text_of_an_experiment_file_is_escaped(self) -> None:
        path = FOLDER / "slow.yaml"
        fields = [*SHORT_RUN, "about='<script>'"]
        experiment = main.experiments.read_experiment(path, fields)
        result = main.decides.run_experiment(experiment)
        page = report.build_page([(experiment, result)])
        assert "<script>" not in page
        assert "&lt;script&gt;" in page

    def test_missing_file_is_an_error_and_no_page_is_written(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        out = tmp_path / "page.html"
        with pytest.raises(SystemExit) as exit_info:
            main.report([tmp_path / "none.yaml"], out=out)
        assert exit_info.value.code == main.EXIT_INVALID_SETTINGS
        assert "none.yaml" in capsys.readouterr().err
        assert not out.exists()
