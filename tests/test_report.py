"""The page of experiments."""

import html.parser
import pathlib

import pytest

from wigeonspool.load import main
from wigeonspool.load import report

FOLDER = pathlib.Path(__file__).parent.parent / "experiments"
SHORT = ["seconds=2", "warmup_seconds=0", "policies=[policy, random]"]


class Outline(html.parser.HTMLParser):
    """Headings, plots and cells of a page."""

    def __init__(self) -> None:
        super().__init__()
        self.text: dict[str, list[str]] = {"h2": [], "td": []}
        self.plots = 0
        self.open = ""

    def handle_starttag(self, tag: str, attrs: object) -> None:
        self.plots += tag == "svg"
        self.open = tag

    def handle_endtag(self, tag: str) -> None:
        self.open = ""

    def handle_data(self, data: str) -> None:
        if self.open in self.text:
            self.text[self.open].append(data)


class TestReport:
    def test_page_shows_what_the_experiments_gave(
        self, tmp_path: pathlib.Path
    ) -> None:
        out = tmp_path / "page.html"
        files = [FOLDER / "head-of-line.yaml", FOLDER / "slow.yaml"]
        main.report(files, out=out, seed=3, set_=SHORT)
        outline = Outline()
        outline.feed(out.read_text())
        assert outline.text["h2"] == ["head-of-line (seed 3)", "slow (seed 3)"]
        assert outline.plots == 2
        cells = outline.text["td"]
        assert cells.count("policy") == cells.count("random")
        assert cells.count("policy") >= 3

    def test_text_of_a_file_is_not_markup(self) -> None:
        path = FOLDER / "slow.yaml"
        fields = [*SHORT, "about='<script>'"]
        about = main.experiments.read_experiment(path, fields)
        result = main.decides.run_experiment(about)
        page = report.build_page([(about, result)])
        assert "<script>" not in page
        assert "&lt;script&gt;" in page

    def test_wrong_file_is_refused_and_nothing_is_written(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        out = tmp_path / "page.html"
        with pytest.raises(SystemExit) as ended:
            main.report([tmp_path / "none.yaml"], out=out)
        assert ended.value.code == main.EXIT_INVALID_SETTINGS
        assert "none.yaml" in capsys.readouterr().err
        assert not out.exists()
